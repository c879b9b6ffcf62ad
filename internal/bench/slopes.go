package bench

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/claim"
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/limit"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/platform"
	"github.com/stoatramp/stoatramp/internal/policy"
	"github.com/stoatramp/stoatramp/internal/record"
)

// SlopesCmd prints costs per unit (slopes), such as the memory per engine. It prints only costs that can be measured in
// one process without a network.
type SlopesCmd struct{}

// Run measures and prints every cost.
func (c *SlopesCmd) Run() error {
	for _, n := range []int{9, 60, 600} {
		r := testing.Benchmark(func(b *testing.B) { benchmarkDecision(b, n, nil) })
		fmt.Printf("decision, all events of a request, %d engines: %d ns, %d allocations, %d bytes\n", n, r.NsPerOp(), r.AllocsPerOp(), r.AllocedBytesPerOp())
	}
	printPolicy()
	printCoreMemory()
	printLimits()
	if err := printConfig(); err != nil {
		return err
	}
	if err := printRecords(); err != nil {
		return err
	}
	return printClaims()
}

// newFleet returns a pool of n engines. Two fifths of them are prefill engines.
func newFleet(n int) decide.Fleet {
	f := decide.Fleet{Pools: []decide.Pool{{Name: "p", KVBytesPerToken: 131072, PrefillExpiry: 5 * time.Second}}}
	for i := range n {
		e := decide.Engine{
			Name: fmt.Sprintf("e%03d", i), Pool: "p", Region: "r", Hall: fmt.Sprintf("h%d", i%5), Role: decide.Decode,
			PrefillRate: 40000, KVTokens: 400000, Step: 8 * time.Millisecond, StepPerStream: 100 * time.Microsecond, LinkRate: 25e9,
		}
		if i*5 < n*2 {
			e.Role = decide.Prefill
		}
		f.Engines = append(f.Engines, e)
	}
	return f
}

// benchmarkDecision measures how long the decision core takes for one request. The duration includes all events from
// the request's arrival to its end. The pool has n engines and some tens of requests in progress.
func benchmarkDecision(b *testing.B, n int, p decide.Policy) {
	c := decide.New(rand.New(rand.NewPCG(1, 2)), 1000)
	now := time.Unix(1800000000, 0)
	c.Step(now, newFleet(n))
	rng := rand.New(rand.NewPCG(3, 4))
	blocks := make([][]uint64, 64)
	for i := range blocks {
		for range 16 {
			blocks[i] = append(blocks[i], rng.Uint64())
		}
	}
	const inFlight = 32
	var live []decide.ID
	id := decide.ID(0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		id++
		c.Step(now, decide.Submit{Request: decide.Request{
			ID: id, Pool: "p", Region: "r", PromptTokens: 2000, MaxTokens: 200, Blocks: blocks[int(id)%len(blocks)],
			FirstToken: 430 * time.Millisecond, BetweenTokens: 27 * time.Millisecond, Repeatable: true, Policy: p,
		}})
		c.Step(now, decide.PrefillDone{ID: id, Attempt: 1, Expires: now.Add(time.Hour)})
		c.Step(now, decide.FirstToken{ID: id, Attempt: 2})
		live = append(live, id)
		if len(live) > inFlight {
			c.Step(now, decide.Done{ID: live[0], Attempt: 2, Output: 200})
			live = live[1:]
		}
	}
}

func printPolicy() {
	p, err := policy.New("example", "def admit(request, pool):\n  return run()\ndef weigh(request, pair):\n  return 0.1 * pair.queue\n")
	if err != nil {
		panic(err)
	}
	r := testing.Benchmark(func(b *testing.B) { benchmarkDecision(b, 600, p) })
	fmt.Printf("the same with a policy of both functions, 600 engines: %d ns, %d allocations\n", r.NsPerOp(), r.AllocsPerOp())
}

// retainedBytes returns how much heap memory the value that fn returns keeps in use.
func retainedBytes(fn func() any) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := fn()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(v)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

func printCoreMemory() {
	n := retainedBytes(func() any {
		c := decide.New(rand.New(rand.NewPCG(1, 2)), 1000)
		c.Step(time.Unix(1800000000, 0), newFleet(600))
		return c
	})
	fmt.Printf("decision core: %d bytes per engine with its prefix cache empty\n", n/600)
	fullCache := retainedBytes(func() any {
		c := decide.New(rand.New(rand.NewPCG(1, 2)), 1000)
		now := time.Unix(1800000000, 0)
		c.Step(now, newFleet(5))
		rng := rand.New(rand.NewPCG(3, 4))
		for id := decide.ID(1); id <= 4000; id++ {
			blocks := make([]uint64, 16)
			for i := range blocks {
				blocks[i] = rng.Uint64()
			}
			now = now.Add(time.Second)
			c.Step(now, decide.Submit{Request: decide.Request{ID: id, Pool: "p", Region: "r", PromptTokens: 2000, MaxTokens: 10, Blocks: blocks, FirstToken: time.Second, BetweenTokens: time.Second, Repeatable: true}})
			c.Step(now, decide.Cancel{ID: id})
		}
		return c
	})
	fmt.Printf("decision core: %d bytes per prefill engine with its prefix cache full\n", fullCache/2)
}

func printLimits() {
	const clients = 10000
	set := limit.Set{Requests: limit.Rule{Rate: 10}, Tokens: limit.Rule{Rate: 1000}}
	names := make([]string, clients)
	for i := range names {
		names[i] = fmt.Sprintf("client-%05d", i)
	}
	now := time.Unix(1800000000, 0)
	n := retainedBytes(func() any {
		t := limit.NewTable()
		for _, name := range names {
			t.Take(now, name, set)
		}
		return t
	})
	t := limit.NewTable()
	r := testing.Benchmark(func(b *testing.B) {
		for i := range b.N {
			t.Take(now, names[i%clients], set)
		}
	})
	fmt.Printf("client limits: %d bytes per client, %d ns per request\n", n/clients, r.NsPerOp())
}

// sharedConfigText returns a shared configuration with the given numbers of clients and engines. The design size is
// 10,000 clients and 600 engines.
func sharedConfigText(clients, engines int) string {
	var b strings.Builder
	for i := range 6 {
		fmt.Fprintf(&b, "[pool m%d]\n\n[route m%d]\nmodel = m%d\n\n", i, i, i)
	}
	for i := range engines {
		role := "decode"
		if i%5 < 2 {
			role = "prefill"
		}
		fmt.Fprintf(&b, "[endpoint e%d]\npool = m%d\nrole = %s\naddress = 10.%d.%d.1:8000\nregion = r\nhall = h%d\nkv_tokens = 400000\n\n", i, i%6, role, i/250, i%250, i%5)
	}
	for i := range clients {
		fmt.Fprintf(&b, "[client c%05d]\nkey_sha256 = %s\nrequests = 10\ntokens = 5000\n\n", i, config.KeyDigest(fmt.Sprint(i)))
	}
	return b.String()
}

func printConfig() error {
	text := sharedConfigText(10000, 600)
	if _, err := config.ParseShared("shared", []byte(text), nil); err != nil {
		return err
	}
	start := time.Now()
	const tries = 5
	for range tries {
		_, _ = config.ParseShared("shared", []byte(text), nil)
	}
	parseTime := time.Since(start) / tries
	retained := retainedBytes(func() any {
		c, _ := config.ParseShared("shared", []byte(text), nil)
		return c
	})
	fmt.Printf("configuration of 10,000 clients and 600 engines: %d bytes, %d gzipped, parsed in %d ms, %d bytes in memory\n",
		len(text), gzipSize([]byte(text)), parseTime.Milliseconds(), retained)
	return nil
}

func gzipSize(b []byte) int {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	_, _ = w.Write(b)
	_ = w.Close()
	return buf.Len()
}

// sampleRecord returns the record of an ordinary request, with what was decided about it.
func sampleRecord(i int) *record.Record {
	choice := &decide.Choice{Compared: 48}
	for j := range 6 {
		choice.Candidates = append(choice.Candidates, decide.Candidate{
			Prefill: fmt.Sprintf("prefill-%d", (i+j)%200), Decode: fmt.Sprintf("decode-%d", (i*7+j)%400),
			Queue: time.Duration(i*j) * time.Microsecond, PrefillTime: 51 * time.Millisecond, Transfer: 11 * time.Millisecond,
			FirstToken: 70 * time.Millisecond, Step: 12 * time.Millisecond, FreeKV: 100000 + i, Cost: 0.07 + float64(i)/1e6,
		})
	}
	return &record.Record{
		ID: fmt.Sprintf("box-%d-mx5y3kdf-htnce-%d", i%400, i), Box: "box", Client: "c", Route: "m", Model: "m", Path: "/v1/completions",
		At: time.Unix(1800000000, int64(i)), PromptTokens: 2000, MaxTokens: 200, Kind: outcome.Answered,
		Steps: []record.Step{
			{Kind: record.StepPrefill, Attempt: 1, Prefill: "prefill-1", Decode: "decode-1", Choice: choice},
			{After: 60 * time.Millisecond, Kind: record.StepPrefillDone, Prefill: "prefill-1"},
			{After: 60 * time.Millisecond, Kind: record.StepDecode, Attempt: 2, Prefill: "prefill-1", Decode: "decode-1"},
			{After: 80 * time.Millisecond, Kind: record.StepFirstToken, Decode: "decode-1"},
		},
	}
}

func printRecords() error {
	const n = 600 // The number of records that a box writes in one minute at the load it is designed for.
	retained := retainedBytes(func() any {
		g := record.NewRing(n)
		for i := range n {
			g.Add(sampleRecord(i))
		}
		return g
	})
	var all bytes.Buffer
	enc := json.NewEncoder(&all)
	for i := range n {
		if err := enc.Encode(sampleRecord(i)); err != nil {
			return err
		}
	}
	fmt.Printf("decision records: %d bytes each in memory, %d as JSON, %d gzipped in batches of %d\n", retained/n, all.Len()/n, gzipSize(all.Bytes())/n, n)
	return nil
}

// countingTable is a table that counts its reads and writes, to show how many a claim on an idempotency key needs.
type countingTable struct {
	rows          map[string]platform.Row
	reads, writes int
}

func (t *countingTable) Get(_ context.Context, key string, _ int64) (platform.Row, error) {
	t.reads++
	if r, ok := t.rows[key]; ok {
		return r, nil
	}
	return platform.Row{}, platform.ErrNotFound
}

func (t *countingTable) Put(_ context.Context, key string, w platform.Write) (int64, error) {
	t.writes++
	r := t.rows[key]
	if r.Version != w.IfVersion {
		return 0, platform.ErrConflict
	}
	t.rows[key] = platform.Row{Key: key, Version: r.Version + 1, Token: w.Token, Value: w.Value}
	return r.Version + 1, nil
}

func printClaims() error {
	t := &countingTable{rows: map[string]platform.Row{}}
	c := claim.New(t)
	cl, _ := c.Acquire(context.Background(), "client", "key", "request")
	if err := c.Close(context.Background(), cl, outcome.Answered); err != nil {
		return err
	}
	fmt.Printf("claim of a request with a key that may run once: %d reads and %d writes of the table\n", t.reads, t.writes)
	return nil
}
