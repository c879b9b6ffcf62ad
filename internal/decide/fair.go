package decide

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// This file orders waiting streams fairly between client accounts. Streams are placed by rank and then by deadline. Within
// a rank, an account that has more than its share of the started streams lets other accounts go first.

// weight is the share of the request's client account relative to other accounts.
func (r *Request) weight() float64 {
	if r.Weight > 0 {
		return r.Weight
	}
	return 1
}

// noteActive and noteInactive count the starting and running requests of a client account on this box.
func (f *flight) noteActive() {
	if f.active {
		return
	}
	f.active = true
	if f.pool.active == nil {
		f.pool.active = map[string]int{}
	}
	f.pool.active[f.Client]++
}

func (f *flight) noteInactive() {
	if !f.active {
		return
	}
	f.active = false
	if f.pool.active[f.Client]--; f.pool.active[f.Client] == 0 {
		delete(f.pool.active, f.Client)
	}
}

// activeEverywhere is the number of starting and running requests of an account on all boxes, as far as the others
// report it.
func (p *pool) activeEverywhere(client string) int { return p.active[client] + p.remoteActive[client] }

// load is the number of starting and running requests of the request's account on all boxes, divided by the account's
// weight.
func (f *flight) load() float64 { return float64(f.pool.activeEverywhere(f.Client)) / f.weight() }

// handleRemoteQueue replaces what the other boxes report of their requests.
func (c *Core) handleRemoteQueue(ev RemoteQueue) {
	c.remote.waiting, c.remote.told = ev.Waiting, ev.Told
	for _, p := range c.pools {
		p.remoteActive, p.remoteQueues = nil, nil
	}
	for _, a := range ev.Accounts {
		p := c.pools[a.Pool]
		if p == nil {
			continue
		}
		if a.Running > 0 {
			if p.remoteActive == nil {
				p.remoteActive = map[string]int{}
			}
			p.remoteActive[a.Client] += a.Running
		}
		if a.Waiting > 0 {
			p.remoteQueues = append(p.remoteQueues, a)
		}
	}
}

// AccountQueues lists the client accounts of this box that the other boxes need to know of: those that wait on this box,
// and those that run here and wait elsewhere. There are at most n, those with the most requests. They are sorted by pool.
func (c *Core) AccountQueues(n int) []AccountQueue {
	var out []AccountQueue
	for _, name := range c.poolNames {
		p := c.pools[name]
		listed := map[string]bool{}
		add := func(client string, rank, waiting int, weight float64) {
			a := AccountQueue{Pool: name, Client: client, Rank: rank, Weight: weight, Waiting: waiting}
			if !listed[client] {
				a.Running = p.active[client]
			}
			listed[client] = true
			if a.Waiting+a.Running > 0 {
				out = append(out, a)
			}
		}
		for _, a := range p.queue.accounts {
			add(a.client, a.rank, a.n, a.first.weight())
		}
		for _, a := range p.remoteQueues {
			if !listed[a.Client] {
				add(a.Client, a.Rank, 0, a.Weight)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b AccountQueue) int { return cmp.Compare(b.Waiting+b.Running, a.Waiting+a.Running) })
	out = out[:min(len(out), n)]
	slices.SortStableFunc(out, func(a, b AccountQueue) int {
		return cmp.Or(strings.Compare(a.Pool, b.Pool), strings.Compare(a.Client, b.Client), cmp.Compare(a.Rank, b.Rank))
	})
	return out
}

// goesBefore reports whether f goes before the waiting requests of an account, because of their rank or the load of the
// account on all boxes.
func (f *flight) goesBefore(rank int, client string, weight float64) bool {
	own := Precedence{Rank: f.Rank, Account: f.Client, Weight: f.Weight, Streams: f.pool.activeEverywhere(f.Client)}
	other := Precedence{Rank: rank, Account: client, Weight: weight, Streams: f.pool.activeEverywhere(client)}
	return own.before(&other)
}

// waitingBehind is the number of requests on this box and on the others that f goes before. Requests of accounts that the
// other boxes don't report are not counted.
func (f *flight) waitingBehind() (local, remote int) {
	for _, a := range f.pool.queue.accounts {
		if f.goesBefore(a.rank, a.client, a.first.Weight) {
			local += a.n
		}
	}
	for _, a := range f.pool.remoteQueues {
		if f.goesBefore(a.Rank, a.Client, a.Weight) {
			remote += a.Waiting
		}
	}
	return local, remote
}

// waitingAccount is a client account with waiting requests of one rank.
type waitingAccount struct {
	rank   int
	client string
	n      int // The number of waiting requests.
	first  *flight
}

func (a waitingAccount) compare(f *flight) int {
	if n := cmp.Compare(a.rank, f.Rank); n != 0 {
		return n
	}
	return strings.Compare(a.client, f.Client)
}

// addAccount and removeAccount count a request that begins or ends to wait.
func (q *waitQueue) addAccount(f *flight) {
	i, ok := slices.BinarySearchFunc(q.accounts, f, waitingAccount.compare)
	if !ok {
		q.accounts = slices.Insert(q.accounts, i, waitingAccount{rank: f.Rank, client: f.Client, first: f})
	}
	q.accounts[i].n++
}

func (q *waitQueue) removeAccount(f *flight) {
	i, ok := slices.BinarySearchFunc(q.accounts, f, waitingAccount.compare)
	if !ok {
		return
	}
	if q.accounts[i].n--; q.accounts[i].n == 0 {
		q.accounts = slices.Delete(q.accounts, i, i+1)
	}
}

// meanLoad is the mean load of the accounts with waiting requests of a rank. several reports whether there is more than
// one such account. The cost depends on the number of accounts and not on the length of the queue.
func (q *waitQueue) meanLoad(rank int) (mean float64, several bool) {
	n := 0
	for _, a := range q.accounts {
		if a.rank == rank {
			mean += a.first.load()
			n++
		}
	}
	return mean / float64(max(1, n)), n > 1
}

// yields reports whether the request lets requests of accounts with at most the mean load go first. A stream that lost its
// connection never yields, because its caller has already received a part of the answer.
func (f *flight) yields(mean float64) bool { return f.connectionLostAt.IsZero() && f.load() > mean }

// nextToPlace returns the index of the request that is to be placed first. list is sorted by byOrder and not empty. The
// result is the first request of an account that does not yield, among those of the highest rank. The requests before it
// yield only if none of them would lose its start time by this while the chosen request would be on time anyway. Otherwise
// the result is 0.
func (c *Core) nextToPlace(p *pool, list []*flight) int {
	first := list[0]
	mean, several := p.queue.meanLoad(first.Rank)
	if !several || !first.yields(mean) {
		return 0
	}
	index := 1
	for index < len(list) && list[index].Rank == first.Rank && (list[index].Client == first.Client && list[index].connectionLostAt.IsZero() || list[index].yields(mean)) {
		index++
	}
	if index == len(list) || list[index].Rank != first.Rank {
		return 0
	}
	// ahead is the time until the work before a request has started, counted from now.
	ahead := time.Duration(0)
	if p.scarceRole == Prefill {
		ahead = c.shortestQueue(first)
	}
	chosen, rate := list[index], p.throughput.rate(p.scarceRole)
	delay := time.Duration(float64(chosen.work[p.scarceRole]) / rate)
	losesStart := false
	for _, f := range list[:index] {
		if !losesStart {
			slack := f.startDeadline().Sub(c.now) - yieldMargin(f)
			losesStart = ahead <= slack && ahead+delay > slack
		}
		ahead += time.Duration(float64(f.work[p.scarceRole]) / rate)
	}
	if losesStart && ahead <= chosen.startDeadline().Sub(c.now) {
		return 0
	}
	return index
}

// yieldMargin is the time before its start deadline up to which a request yields. Predicted start times are inexact. In
// five seeds of the loads 0.5 to 1.3 on one box, 59,175 requests of both mixes were served in time without a margin,
// 59,453 with a quarter of the target, 59,230 with half of it, and 58,838 before any request yielded.
func yieldMargin(f *flight) time.Duration { return f.FirstToken / 4 }
