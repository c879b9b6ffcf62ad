package overlay

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/clock"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1/stoatrampv1connect"
	"github.com/stoatramp/stoatramp/internal/slots"
)

// fakeSlots grants a number of slots of one endpoint, whichever cell is asked for.
type fakeSlots struct {
	mu       sync.Mutex
	limit    int
	wait     time.Duration // The expected wait that a queued request is told.
	stopping bool
	// silent requests are never decided. They end with ctx. With grantAtEnd a slot is granted at that moment.
	silent, grantAtEnd bool
	held               map[string]bool
	results            map[string][]slots.Result
	waiting            int
	lastRequest        slots.Request
	changed            chan struct{}
	releaseGate        chan struct{} // Release waits until it is closed; nil if it does not wait.
}

func newFakeSlots(limit int) *fakeSlots {
	return &fakeSlots{limit: limit, wait: 5 * time.Second, held: map[string]bool{}, results: map[string][]slots.Result{}, changed: make(chan struct{})}
}

func (f *fakeSlots) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeSlots) tryGrant(r slots.Request) (d slots.Decision, changed chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastRequest = r
	switch {
	case f.stopping:
		return slots.Decision{State: slots.Refused, Reason: slots.Stopping}, nil
	case !f.silent && len(f.held) < f.limit:
		f.held[r.ID] = true
		return slots.Decision{State: slots.Granted, Endpoint: "e", InUse: len(f.held), Limit: f.limit}, nil
	}
	return slots.Decision{State: slots.Queued, Wait: f.wait, Waiting: f.waiting}, f.changed
}

func (f *fakeSlots) Acquire(ctx context.Context, _ slots.Cell, r slots.Request, queued func(slots.Decision)) (slots.Decision, bool) {
	d, changed := f.tryGrant(r)
	if d.State != slots.Queued {
		return d, false
	}
	f.update(func() { f.waiting++ })
	defer f.update(func() { f.waiting-- })
	queued(d)
	for {
		select {
		case <-changed:
			if d, changed = f.tryGrant(r); d.State != slots.Queued {
				return d, true
			}
		case <-ctx.Done():
			if f.grantAtEnd {
				f.update(func() { f.held[r.ID] = true })
				return slots.Decision{State: slots.Granted, Endpoint: "e"}, true
			}
			return slots.Decision{State: slots.Refused, Reason: slots.TooLate}, true
		}
	}
}

func (f *fakeSlots) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.signal()
}

func (f *fakeSlots) Release(_ slots.Cell, id string, res slots.Result) bool {
	f.mu.Lock()
	gate := f.releaseGate
	f.mu.Unlock()
	if gate != nil {
		<-gate
	}
	f.update(func() {
		if !f.held[id] && len(f.results[id]) > 0 {
			return // Like SlotServer.Release for an ID that it no longer knows.
		}
		delete(f.held, id)
		f.results[id] = append(f.results[id], res)
	})
	return false
}

func (f *fakeSlots) inUse() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.held)
}

func (f *fakeSlots) queueLength() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting
}

// released reports whether the only result of a grant is res.
func (f *fakeSlots) released(id string, res slots.Result) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.results[id]) == 1 && f.results[id][0] == res
}

// slotFleet starts five boxes in two halls that grant slots.
func slotFleet(t *testing.T, s *fakeStore, limit int) (all []*box, fakes map[string]*fakeSlots) {
	all, fakes = s.fleet(t), map[string]*fakeSlots{}
	for _, b := range all {
		fakes[b.o.Self.Name] = newFakeSlots(limit)
		b.o.Slots = fakes[b.o.Self.Name]
	}
	eventually(t, "all have the key", func() bool {
		for _, b := range all {
			if b.members.sharedKey() == "" {
				return false
			}
		}
		return true
	})
	return all, fakes
}

// cellRanked returns a cell whose first possible owners, in rendezvous order, have the given names.
func (b *box) cellRanked(t *testing.T, names ...string) slots.Cell {
	t.Helper()
search:
	for i := range 10000 {
		cell := slots.Cell{Service: fmt.Sprint("service-", i), Region: "r"}
		ranked := b.slotOwners(cell)
		for k, name := range names {
			if k >= len(ranked) || ranked[k].Name != name {
				continue search
			}
		}
		return cell
	}
	t.Fatalf("expected a cell with the owners %v", names)
	return slots.Cell{}
}

func (b *box) resetSlotOwners() {
	b.resetUnresponsive()
	b.slots.owners.mu.Lock()
	defer b.slots.owners.mu.Unlock()
	b.slots.owners.byName = nil
}

// allowSlowAnswers makes the box wait slotQueuedTimeout for the first answer of an owner, as after a slow answer. On a
// machine that is short of processor time a first answer may take more than slotFirstTimeout.
func (b *box) allowSlowAnswers(t *testing.T, owner string) {
	t.Helper()
	m, listed := b.members.get(owner)
	if !listed {
		t.Fatalf("expected box %s to list %s", b.o.Self.Name, owner)
	}
	b.slots.owners.answerTook(m, slotQueuedTimeout, clock.Now())
}

func boxNamed(all []*box, name string) *box {
	for _, b := range all {
		if b.o.Self.Name == name {
			return b
		}
	}
	return nil
}

var lastSlotID struct {
	mu sync.Mutex
	n  int
}

func slotRequest() slots.Request {
	lastSlotID.mu.Lock()
	defer lastSlotID.mu.Unlock()
	lastSlotID.n++
	return slots.Request{ID: fmt.Sprint("slot-", lastSlotID.n), OnTime: 5 * time.Second, Left: 20 * time.Second}
}

// acquired asks until the wanted owner has granted a slot, and returns the request. On a machine that is short of
// processor time an owner may need more than slotFirstTimeout; then it is asked again.
func (b *box) acquired(t *testing.T, cell slots.Cell, want string) (r slots.Request) {
	t.Helper()
	eventually(t, want+" grants a slot to "+b.o.Self.Name, func() bool {
		r = slotRequest()
		d, owner, _ := b.AcquireSlot(context.Background(), cell, r)
		if owner == want && d.State == slots.Granted && d.Endpoint == "e" {
			return true
		}
		b.ReleaseSlot(owner, cell, r.ID, slots.Result{Outcome: slots.Unused})
		b.resetSlotOwners()
		return false
	})
	return r
}

// Guards against a status that names another owner than the one that is asked, also after the first one did not answer.
func TestSlotOwnerForDisplay(t *testing.T) {
	all, _ := slotFleet(t, newStore(), 100)
	b := boxNamed(all, "a")
	cell := b.cellRanked(t, "d", "b")
	if got := b.SlotOwner(cell); got != "d" {
		t.Errorf("expected d, got %q", got)
	}
	now := clock.Now()
	b.slots.owners.silent(b.slotOwners(cell)[0], now, now)
	if got := b.SlotOwner(cell); got != "" {
		t.Errorf("expected no owner while the first box is not asked, got %q", got)
	}
	b.slots.owners.skip(b.slotOwners(cell)[0], now.Add(time.Minute))
	if got := b.SlotOwner(cell); got != "b" {
		t.Errorf("expected the next box, got %q", got)
	}
	cell.Region = "elsewhere"
	if got := b.SlotOwner(cell); got != "" {
		t.Errorf("expected no owner in another region, got %q", got)
	}
}

// Guards against boxes that disagree on the owner of a cell, which would grant each slot several times. The box that
// owns the cell uses its own server. The outcome of a call reaches the owner unchanged.
func TestSlotOwner(t *testing.T) {
	all, fakes := slotFleet(t, newStore(), 100)
	for _, owner := range []string{"a", "d"} {
		cell := all[0].cellRanked(t, owner)
		for _, b := range all {
			if b.cellRanked(t, owner) != cell {
				t.Errorf("expected all boxes to consider %s the owner of %v", owner, cell)
			}
			r := b.acquired(t, cell, owner)
			res := slots.Result{Outcome: slots.Rejected, Took: 1234 * time.Microsecond}
			b.ReleaseSlot(owner, cell, r.ID, res)
			eventually(t, "the owner learns the outcome", func() bool { return fakes[owner].released(r.ID, res) })
		}
		eventually(t, "no slot is in use", func() bool { return fakes[owner].inUse() == 0 })
	}
	other := slots.Cell{Service: "s", Region: "elsewhere"}
	if _, owner, _ := all[0].AcquireSlot(context.Background(), other, slotRequest()); owner != "" {
		t.Errorf("expected no owner for a cell of another region, got %s", owner)
	}
	all[1].o.Slots = nil
	if _, owner, _ := all[1].AcquireSlot(context.Background(), all[1].cellRanked(t, "a"), slotRequest()); owner != "" {
		t.Errorf("expected a box without a slot server to ask no owner, got %s", owner)
	}
}

// Guards against a queued request that is not told of its grant, and against a box that does not learn that the owner
// is busy.
func TestSlotQueuedThenGranted(t *testing.T) {
	all, fakes := slotFleet(t, newStore(), 1)
	cell := all[0].cellRanked(t, "d")
	first := all[0].acquired(t, cell, "d")
	type answer struct {
		d     slots.Decision
		owner string
		busy  bool
	}
	got := make(chan answer, 1)
	go func() {
		d, owner, busy := all[1].AcquireSlot(context.Background(), cell, slotRequest())
		got <- answer{d, owner, busy}
	}()
	eventually(t, "the second request waits", func() bool { return fakes["d"].queueLength() == 1 })
	all[0].ReleaseSlot("d", cell, first.ID, slots.Result{Outcome: slots.Answered})
	if a := <-got; a.owner != "d" || a.d.State != slots.Granted || !a.busy {
		t.Errorf("expected a grant of the busy owner d, got %+v", a)
	}
	if n := fakes["d"].inUse(); n != 1 {
		t.Errorf("expected one slot in use, got %d", n)
	}
}

// Guards against calls that are not served for some time after the owner was killed: the request that finds the owner
// gone is answered by the next box in rendezvous order, and later ones don't try the owner that is gone.
func TestSlotOwnerKilled(t *testing.T) {
	all, fakes := slotFleet(t, newStore(), 100)
	cell := all[0].cellRanked(t, "d", "e")
	all[0].acquired(t, cell, "d") // Leaves an idle connection to the owner.
	boxNamed(all, "d").kill()
	for _, b := range all[:3] {
		b.resetSlotOwners()
		b.allowSlowAnswers(t, "e")
		r := slotRequest()
		began := time.Now()
		d, owner, _ := b.AcquireSlot(context.Background(), cell, r)
		if owner != "e" || d.State != slots.Granted {
			t.Errorf("box %s: expected a grant of e in one request, got %v of %q after %s", b.o.Self.Name, d, owner, time.Since(began))
		}
		if b.unresponsive.usable("d", time.Now()) {
			t.Errorf("box %s: expected the owner that is gone not to be asked again at once", b.o.Self.Name)
		}
	}
	if n := fakes["e"].inUse(); n != 3 {
		t.Errorf("expected 3 slots of e in use, got %d", n)
	}
}

// Guards against a queued call that fails with its owner although another box could serve it.
func TestSlotOwnerKilledWhileRequestWaits(t *testing.T) {
	all, fakes := slotFleet(t, newStore(), 100)
	fakes["d"].limit = 0
	cell := all[0].cellRanked(t, "d", "e")
	got := make(chan string, 1)
	go func() {
		_, owner, _ := all[0].AcquireSlot(context.Background(), cell, slotRequest())
		got <- owner
	}()
	eventually(t, "the request waits", func() bool { return fakes["d"].queueLength() == 1 })
	boxNamed(all, "d").kill()
	if owner := <-got; owner != "e" {
		t.Errorf("expected the next owner e to decide, got %q", owner)
	}
}

// listMember adds a member without a node to the list. The test listens at the member's address.
func (s *fakeStore) listMember(t *testing.T, all []*box, name, address string) {
	t.Helper()
	m := Member{Name: name, Region: "r", Hall: "h1", Address: address, Incarnation: 1 << 40}
	s.Put(context.Background(), name, m.encode())
	eventually(t, "all list "+name, func() bool {
		for _, b := range all {
			if _, listed := b.members.get(name); !listed {
				return false
			}
		}
		return true
	})
}

// Guards against calls that wait for an owner that is frozen: it accepts connections and never answers. One request of
// each box loses slotFirstTimeout per slotRetryInterval, and the others do not wait. Also guards against a second owner as
// soon as one answer was late: the next box is asked only after slotLostTimeout.
func TestSlotOwnerAcceptsAndNeverAnswers(t *testing.T) {
	s := newStore()
	all, _ := slotFleet(t, s, 100)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
		}
	}()
	s.listMember(t, all, "mute", l.Addr().String())
	cell := all[0].cellRanked(t, "mute", "b")
	for _, b := range all {
		began := time.Now()
		_, owner, _ := b.AcquireSlot(context.Background(), cell, slotRequest())
		if took := time.Since(began); owner != "" || took < slotFirstTimeout || took > time.Second {
			t.Errorf("box %s: expected no owner after %s, got %q after %s", b.o.Self.Name, slotFirstTimeout, owner, took)
		}
		if b.unresponsive.usable("mute", time.Now()) {
			t.Errorf("box %s: expected the frozen owner not to be asked again at once", b.o.Self.Name)
		}
		silentSince := time.Now()
		owners, waited := map[string]int{}, 0
		eventually(t, b.o.Self.Name+" asks the next owner", func() bool {
			began = time.Now()
			_, owner, _ = b.AcquireSlot(context.Background(), cell, slotRequest())
			if time.Since(began) >= slotFirstTimeout {
				waited++
			}
			owners[owner]++
			return owner == "b"
		})
		if lost := time.Since(silentSince); lost < slotLostTimeout-slotFirstTimeout || owners["b"] != 1 || len(owners) != 2 {
			t.Errorf("box %s: expected its own part until %s, and then the next owner b, got %v after %s", b.o.Self.Name, slotLostTimeout, owners, lost)
		}
		if most := int(time.Since(silentSince)/slotRetryInterval) + 1; waited > most {
			t.Errorf("box %s: expected at most %d requests that wait for the frozen owner, got %d", b.o.Self.Name, most, waited)
		}
	}
}

// frozenOwner queues each request, and then sends nothing more. queued receives the time just before the answer is sent,
// and ended a value when the asking box has closed the stream.
type frozenOwner struct {
	stoatrampv1connect.UnimplementedOverlayHandler
	queued chan time.Time
	ended  chan struct{}
}

func (o *frozenOwner) AcquireSlot(ctx context.Context, _ *connect.Request[v1.AcquireSlotRequest], stream *connect.ServerStream[v1.AcquireSlotResponse]) error {
	o.queued <- time.Now()
	err := stream.Send(encodeDecision(slots.Decision{State: slots.Queued, Wait: 20 * time.Millisecond}, true))
	<-ctx.Done()
	o.ended <- struct{}{}
	return err
}

// Guards against a queued call that waits without end for an owner that queued it and then froze.
func TestSlotOwnerSilentAfterQueued(t *testing.T) {
	s := newStore()
	all, _ := slotFleet(t, s, 100)
	owner := &frozenOwner{queued: make(chan time.Time, 1), ended: make(chan struct{}, 1)}
	_, handler := stoatrampv1connect.NewOverlayHandler(owner)
	srv := httptest.NewServer(handler)
	defer srv.Close()
	s.listMember(t, all, "frozen", srv.Listener.Addr().String())
	cell := all[0].cellRanked(t, "frozen")
	all[0].allowSlowAnswers(t, "frozen")
	_, by, _ := all[0].AcquireSlot(context.Background(), cell, slotRequest())
	ended := time.Now()
	if took := ended.Sub(<-owner.queued); by != "" || took < slotQueuedTimeout || took > slotQueuedTimeout+time.Second {
		t.Errorf("expected no owner %s after the request was queued, got %q after %s", slotQueuedTimeout, by, took)
	}
	if all[0].unresponsive.usable("frozen", time.Now()) {
		t.Error("expected the silent owner not to be asked again at once")
	}
	<-owner.ended
}

// Guards against giving up an owner that works. Past fault: a request that waited for twice as long as its owner had
// expected took the owner for gone. Boxes then asked other owners too, and an endpoint got twice as many calls.
func TestSlotOwnerIsKeptDuringALongWait(t *testing.T) {
	all, fakes := slotFleet(t, newStore(), 0)
	f := fakes["d"]
	f.wait = 5 * time.Millisecond
	cell := all[0].cellRanked(t, "d")
	time.AfterFunc(4*slotQueuedTimeout, func() { f.update(func() { f.limit = 1 }) })
	d, owner, _ := all[0].AcquireSlot(context.Background(), cell, slotRequest())
	if owner != "d" || d.State != slots.Granted {
		t.Errorf("expected a slot from d, got %+v from %q", d, owner)
	}
}

// Guards against calls that fail, or slots that leak, while an owner stops as planned. Other boxes get their slots from
// the next owner, at most two boxes are asked, and the stopping owner gets the releases of its grants although it is no
// longer listed.
func TestSlotOwnerStops(t *testing.T) {
	all, fakes := slotFleet(t, newStore(), 100)
	cell := all[0].cellRanked(t, "d", "e", "c")
	earlier := all[0].acquired(t, cell, "d")
	fakes["d"].update(func() { fakes["d"].stopping = true })
	all[0].acquired(t, cell, "e")
	boxNamed(all, "d").Leave(context.Background())
	eventually(t, "the owner is no longer listed", func() bool { _, listed := all[0].members.get("d"); return !listed })
	res := slots.Result{Outcome: slots.Answered, Took: time.Millisecond}
	all[0].ReleaseSlot("d", cell, earlier.ID, res)
	eventually(t, "the stopping owner gets the release", func() bool { return fakes["d"].released(earlier.ID, res) })
	fakes["e"].update(func() { fakes["e"].stopping = true })
	fakes["c"].update(func() { fakes["c"].stopping = true })
	for _, b := range all[:2] {
		b.resetSlotOwners()
		if _, owner, _ := b.AcquireSlot(context.Background(), cell, slotRequest()); owner != "" {
			t.Errorf("box %s: expected no third box to be asked after two that stop, got %q", b.o.Self.Name, owner)
		}
	}
}

// Guards against calls that are refused because they waited at an owner that stopped: the next owner decides on them,
// with the time that is left.
func TestSlotOwnerStopsWhileRequestWaits(t *testing.T) {
	all, fakes := slotFleet(t, newStore(), 100)
	for _, asker := range []string{"a", "d"} { // A remote box, and the owner itself.
		fakes["d"].update(func() { fakes["d"].limit, fakes["d"].stopping = 0, false })
		all[0].resetSlotOwners()
		cell := all[0].cellRanked(t, "d", "e")
		got := make(chan string, 1)
		go func() {
			_, owner, _ := boxNamed(all, asker).AcquireSlot(context.Background(), cell, slotRequest())
			got <- owner
		}()
		eventually(t, "the request waits", func() bool { return fakes["d"].queueLength() == 1 })
		time.Sleep(10 * time.Millisecond)
		fakes["d"].update(func() { fakes["d"].stopping = true })
		if owner := <-got; owner != "e" {
			t.Errorf("asked by %s: expected the next owner e to decide, got %q", asker, owner)
		}
		f := fakes["e"]
		f.mu.Lock()
		if sent := slotRequest(); f.lastRequest.Left > sent.Left-10*time.Millisecond || f.lastRequest.OnTime > sent.OnTime-10*time.Millisecond {
			t.Errorf("expected the time that is left, got %s and %s", f.lastRequest.Left, f.lastRequest.OnTime)
		}
		f.mu.Unlock()
	}
}

// Guards against a request that no box can decode and that makes each owner appear to have failed.
func TestSlotInvalidRequestIsNotSent(t *testing.T) {
	all, _ := slotFleet(t, newStore(), 100)
	cell := all[0].cellRanked(t, "d")
	for _, change := range []func(*slots.Request){
		func(r *slots.Request) { r.Account = "\xff" },
		func(r *slots.Request) { r.ID = "\xff" },
		func(r *slots.Request) { r.ID = "" },
		func(r *slots.Request) { r.Weight = math.NaN() },
		func(r *slots.Request) { r.Exclude = []string{strings.Repeat("x", maxNameBytes+1)} },
	} {
		r := slotRequest()
		change(&r)
		if _, owner, _ := all[0].AcquireSlot(context.Background(), cell, r); owner != "" {
			t.Errorf("expected no owner, got %q", owner)
		}
		all[0].ReleaseSlot("d", cell, r.ID, slots.Result{Outcome: slots.Unused})
	}
	if got := all[0].count.slotUnanswered.Get(); got != 0 || all[0].resetUnresponsive() != 0 {
		t.Errorf("expected no request to be sent, got %d without an answer", got)
	}
	all[0].acquired(t, cell, "d")
}

// Guards against a box that grants slots while it stops although its slot server was not told: it neither grants to
// others nor considers itself an owner.
func TestSlotStoppingBoxGrantsNothing(t *testing.T) {
	all, fakes := slotFleet(t, newStore(), 100)
	d := boxNamed(all, "d")
	cell := all[0].cellRanked(t, "d", "e")
	d.stop()
	for _, b := range all {
		b.acquired(t, cell, "e")
	}
	if n := fakes["d"].inUse(); n != 0 {
		t.Errorf("expected the stopping box to grant nothing, got %d", n)
	}
}

// Guards against slots that are held for callers that have left. When the asking box ends a request that waits, the
// owner withdraws it. If the owner grants the slot at that moment, the slot is released.
func TestSlotAskerLeavesWhileQueued(t *testing.T) {
	for _, asker := range []string{"a", "d"} { // A remote box, and the owner itself.
		for _, grantAtEnd := range []bool{false, true} {
			t.Run(fmt.Sprint(asker, grantAtEnd), func(t *testing.T) {
				all, fakes := slotFleet(t, newStore(), 0)
				f := fakes["d"]
				f.grantAtEnd = grantAtEnd
				cell := all[0].cellRanked(t, "d")
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				done := make(chan string, 1)
				r := slotRequest()
				go func() {
					_, owner, _ := boxNamed(all, asker).AcquireSlot(ctx, cell, r)
					done <- owner
				}()
				eventually(t, "the request waits", func() bool { return f.queueLength() == 1 })
				cancel()
				select {
				case owner := <-done:
					if owner != "" {
						t.Errorf("expected no owner, got %q", owner)
					}
				case <-time.After(f.wait / 2):
					t.Error("expected the request to end with its context, and not with the expected wait")
				}
				eventually(t, "the request is withdrawn and released", func() bool {
					f.mu.Lock()
					defer f.mu.Unlock()
					return f.waiting == 0 && len(f.held) == 0 && len(f.results[r.ID]) > 0
				})
				if !boxNamed(all, "a").unresponsive.usable("d", time.Now()) {
					t.Error("expected a caller that leaves not to count as a failure of the owner")
				}
			})
		}
	}
}

// Guards against a leak of the slot if only the end of the stream tells the owner that the asking box was killed.
func TestSlotAskerKilledWhileQueued(t *testing.T) {
	all, fakes := slotFleet(t, newStore(), 0)
	cell := all[0].cellRanked(t, "d")
	fakes["d"].grantAtEnd = true
	// The call is made without the node of the asking box, which would also send a release.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := slotRequest()
	r.Box = "a"
	req := connect.NewRequest(encodeSlotRequest(cell, r))
	authorize(req.Header(), all[0].members.sharedKey())
	d := boxNamed(all, "d")
	stream, err := all[0].client(d.o.Self.Address).AcquireSlot(ctx, req)
	if err != nil || !stream.Receive() {
		t.Fatalf("expected an answer, got %v", err)
	}
	if !stream.Msg().Busy || stream.Msg().State != v1.SlotState_SLOT_STATE_QUEUED {
		t.Errorf("expected a busy owner to queue the request, got %v", stream.Msg())
	}
	cancel()
	eventually(t, "the slot granted meanwhile is released", func() bool {
		return fakes["d"].released(r.ID, slots.Result{Outcome: slots.Unused}) && fakes["d"].inUse() == 0
	})
}

// lossyHandler processes requests for slots, but closes the connection instead of sending the answers.
func lossyHandler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/AcquireSlot") {
			h.ServeHTTP(w, r)
			return
		}
		h.ServeHTTP(httptest.NewRecorder(), r)
		_, _ = io.Copy(io.Discard, r.Body)
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = c.Close()
		}
	})
}

// Guards against a slot that stays in use because the answer with the grant was lost. The asking box releases it and
// asks the next owner.
func TestSlotAnswerLostAfterGrant(t *testing.T) {
	s := newStore()
	all, fakes := slotFleet(t, s, 100)
	lossy := httptest.NewServer(lossyHandler(boxNamed(all, "e").Handler()))
	defer lossy.Close()
	s.listMember(t, all, "lossy", lossy.Listener.Addr().String())
	cell := all[0].cellRanked(t, "lossy", "b")
	r := slotRequest()
	var owner string
	eventually(t, "the request reaches the owner whose answer is lost", func() bool {
		all[0].resetSlotOwners()
		r = slotRequest()
		_, owner, _ = all[0].AcquireSlot(context.Background(), cell, r)
		return owner == "b"
	})
	eventually(t, "the grant is released", func() bool {
		return fakes["e"].released(r.ID, slots.Result{Outcome: slots.Unused}) && fakes["e"].inUse() == 0
	})
	if all[0].unresponsive.usable("lossy", time.Now()) {
		t.Error("expected the owner whose connection failed not to be asked again at once")
	}
}

// Guards against a leak when a frozen owner wakes and processes the release of a request before the request itself.
func TestSlotReleasedBeforeRequest(t *testing.T) {
	all, fakes := slotFleet(t, newStore(), 100)
	d := boxNamed(all, "d")
	cell := all[0].cellRanked(t, "d")
	r := slotRequest()
	r.Box = "a"
	unused := slots.Result{Outcome: slots.Unused}
	all[0].ReleaseSlot("d", cell, r.ID, unused)
	eventually(t, "the release arrives", func() bool { return fakes["d"].released(r.ID, unused) })
	req := connect.NewRequest(encodeSlotRequest(cell, r))
	authorize(req.Header(), all[0].members.sharedKey())
	stream, err := all[0].client(d.o.Self.Address).AcquireSlot(context.Background(), req)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	for stream.Receive() {
	}
	if n := fakes["d"].inUse(); n != 0 {
		t.Errorf("expected the slot of a withdrawn request to be released, got %d in use", n)
	}
}

// Guards against a grant that is used after the caller gave up, as by a box that was frozen meanwhile.
func TestSlotLateGrantIsReleased(t *testing.T) {
	all, fakes := slotFleet(t, newStore(), 0)
	cell := all[0].cellRanked(t, "d")
	r := slotRequest()
	r.Left = 50 * time.Millisecond
	go func() {
		for fakes["d"].queueLength() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		fakes["d"].update(func() { fakes["d"].limit = 1 })
	}()
	d, owner, _ := all[0].AcquireSlot(context.Background(), cell, r)
	if owner != "d" || d.State != slots.Refused || d.Reason != slots.TooLate {
		t.Errorf("expected the late grant of d to count as a refusal, got %+v of %q", d, owner)
	}
	eventually(t, "the slot is released", func() bool { return fakes["d"].released(r.ID, slots.Result{Outcome: slots.Unused}) })
}
