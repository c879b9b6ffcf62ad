// Package notice tracks what endpoints announce about themselves in response headers. An endpoint can announce a limit
// on the requests per second, that it is leaving (about to shut down), or a pause in which a box should not send.
// Before a box sends a request to an endpoint, the box asks the Table whether it may.
//
// Notices are stored under the endpoint's ID. The ID differs at each start of an endpoint. So notices stay valid when
// the endpoint list or the configuration changes, but not when the endpoint restarts.
package notice

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/pacing"
)

// Notice is what one response header announces about the endpoint that sent it.
type Notice struct {
	// Limit is how many requests per second the endpoint accepts from all boxes together; 0 if it announces no
	// limit.
	Limit float64
	// Leaving says that the endpoint will shut down and accepts no new requests.
	Leaving bool
	// Pause is how long the endpoint wants no further requests from this box, after it rejected a request; 0 if the
	// endpoint asks for no pause.
	Pause time.Duration
	// Malformed describes a malformed part of the header; it is empty if there is none. A malformed part changes
	// nothing, so earlier announcements of the endpoint still apply.
	Malformed string
}

// Answer is one response of an endpoint.
type Answer struct {
	Endpoint string
	// Region is the region of the endpoint. The boxes listed for that region share the endpoint's limit.
	Region string
	// Sent is when the request was sent, as package clock tells the time.
	Sent time.Time
	// Completed says that the endpoint completed a caller's request. Only the response to such a request can lift a
	// limit. Other responses need not repeat a limit that still applies.
	Completed bool
	Notice    Notice
}

// minLimitChange is how far a limit must change to count as changed, as a fraction of the old limit. An endpoint may
// announce a slightly different number in each response.
const minLimitChange = 0.1

// Change is a change of an endpoint's announced state by a response.
type Change uint8

// Changes of an endpoint's announced state.
const (
	_ Change = iota
	// LimitAnnounced means that an endpoint announced its first limit or a changed limit. LimitRepeated means that
	// it announced the same limit, and that the limit was last published at least repeatInterval ago. LimitLifted
	// means that the limit no longer applies.
	LimitAnnounced
	LimitRepeated
	LimitLifted
	// LeavingAnnounced means that the endpoint announced for the first time that it is leaving. PauseRequested means
	// that the endpoint asked for a pause that ends later than the pause it asked for before.
	LeavingAnnounced
	PauseRequested
	// MalformedNotice means that the endpoint sent a malformed notice. The last report of a malformed notice of the
	// endpoint is at least repeatInterval old, or malformedRepeatInterval if that notice was the same.
	MalformedNotice
)

// endpoint is the announced state of one endpoint. The zero value means that nothing was announced.
type endpoint struct {
	region string
	limit  float64 // Requests per second; 0 for none.
	// limitSentAt belongs to responses that announced the limit. It is when the box sent the latest request with
	// such a response. publishedAt is when the limit was last published to the other boxes.
	limitSentAt, publishedAt time.Time
	pacer                    pacing.Pacer
	// boxesVersion is the version of the list of boxes from which the pacer's share was computed. nextRenewal is
	// when this list is checked again. nextRenewal is zero after a change of the limit, which causes a check.
	boxesVersion int64
	nextRenewal  time.Time
	leaving      bool
	pausedUntil  time.Time // When the pause requested of this box ends; zero if none was requested.
	// malformed is the malformed notice that was last reported, and malformedAt the time of that report. An
	// endpoint may send a different malformed notice with each response.
	malformed    string
	malformedAt  time.Time
	lastNoticeAt time.Time // When the endpoint last sent a notice.
}

// Boxes lists the boxes that may send to the endpoints of a region. The version changes with the list.
type Boxes func(region string) (names []string, version int64)

// Table holds the announced state of endpoints. It is safe for concurrent use.
type Table struct {
	box   string
	boxes Boxes
	epoch time.Time
	// numEndpoints is the number of endpoints in byID. It is read without the lock, so that callers need no lock
	// while there are no endpoints. numLimited is the number of endpoints with a limit.
	numEndpoints, numLimited atomic.Int64

	mu   sync.Mutex
	byID map[string]*endpoint
}

// NewTable returns an empty table for one box.
func NewTable(box string, boxes Boxes) *Table {
	return &Table{box: box, boxes: boxes, epoch: clock.Now(), byID: map[string]*endpoint{}}
}

// repeatInterval is how often a limit that still applies is published again. This is needed because messages are lost
// and boxes restart. repeatInterval is also the least time between two reports of different malformed notices
// of one endpoint.
const repeatInterval = 5 * time.Second

// malformedRepeatInterval is the least time between two reports of the same malformed notice of one endpoint. It is
// longer than repeatInterval, because all endpoints of a faulty version may send such a notice.
const malformedRepeatInterval = time.Minute

// Observe records the notice in a response. It returns how the notice changed the endpoint's state.
func (t *Table) Observe(now time.Time, a Answer) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[a.Endpoint]
	if e == nil {
		if a.Notice == (Notice{}) {
			return nil
		}
		e = &endpoint{}
		t.byID[a.Endpoint] = e
		t.numEndpoints.Add(1)
	}
	e.region = a.Region
	if a.Notice != (Notice{}) {
		e.lastNoticeAt = now
	}
	changes := t.updateLimit(now, e, a)
	if a.Notice.Leaving && !e.leaving {
		e.leaving = true
		changes = append(changes, LeavingAnnounced)
	}
	if pauseEnd := now.Add(a.Notice.Pause); a.Notice.Pause > 0 && pauseEnd.After(e.pausedUntil) {
		e.pausedUntil = pauseEnd
		changes = append(changes, PauseRequested)
	}
	if a.Notice.Malformed != "" && now.Sub(e.malformedAt) >= e.reportInterval(a.Notice.Malformed) {
		e.malformed, e.malformedAt = a.Notice.Malformed, now
		changes = append(changes, MalformedNotice)
	}
	return changes
}

// reportInterval is the least time between the last report of a malformed notice and a report of this one.
func (e *endpoint) reportInterval(malformed string) time.Duration {
	if malformed == e.malformed {
		return malformedRepeatInterval
	}
	return repeatInterval
}

// updateLimit records what a response says about the endpoint's limit, and returns the resulting change. The caller
// must hold t.mu.
func (t *Table) updateLimit(now time.Time, e *endpoint, a Answer) []Change {
	switch {
	case a.Notice.Limit > 0:
		changed := math.Abs(a.Notice.Limit-e.limit) > minLimitChange*e.limit
		if e.limit == 0 {
			t.numLimited.Add(1)
		}
		e.limit, e.limitSentAt = a.Notice.Limit, latest(e.limitSentAt, a.Sent)
		if changed {
			e.publishedAt, e.nextRenewal = now, time.Time{}
			return []Change{LimitAnnounced}
		}
		if now.Sub(e.publishedAt) >= repeatInterval {
			e.publishedAt = now
			return []Change{LimitRepeated}
		}
	case a.Notice.Malformed == "" && e.limit > 0 && a.Completed && a.Sent.After(e.limitSentAt):
		t.clearLimit(e)
		return []Change{LimitLifted}
	}
	return nil
}

// Has reports whether an endpoint has sent any notice that is still remembered. If it has not, a response without a
// notice changes nothing.
func (t *Table) Has(id string) bool {
	if t.numEndpoints.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id] != nil
}

// clearLimit removes the limit of an endpoint. The caller must hold t.mu.
func (t *Table) clearLimit(e *endpoint) {
	if e.limit > 0 {
		t.numLimited.Add(-1)
	}
	e.limit, e.pacer, e.nextRenewal = 0, pacing.Pacer{}, time.Time{}
}

// Leaving reports whether an endpoint has announced that it is leaving. The endpoint cannot take this back. After a
// restart, it has another ID.
func (t *Table) Leaving(id string) bool {
	if t.numEndpoints.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[id]
	return e != nil && e.leaving
}

// IsPaused reports whether an endpoint has asked this box for a pause that has not ended yet.
func (t *Table) IsPaused(id string, now time.Time) bool {
	if t.numEndpoints.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[id]
	return e != nil && now.Before(e.pausedUntil)
}

// ThrottledFor returns how long an endpoint accepts no new requests from this box, or 0 if it accepts one now.
func (t *Table) ThrottledFor(id string, now time.Time) time.Duration {
	if t.numEndpoints.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[id]
	if e == nil {
		return 0
	}
	remainingPause := max(0, e.pausedUntil.Sub(now))
	if e.limit == 0 {
		return remainingPause
	}
	t.renewShare(e, id, now)
	return max(remainingPause, e.pacer.Wait(now, t.epoch))
}

// Sent records a request that was sent to an endpoint. The request counts against this box's share of the endpoint's
// limit.
func (t *Table) Sent(id string, now time.Time) {
	if t.numEndpoints.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.byID[id]; e != nil && e.limit > 0 {
		t.renewShare(e, id, now)
		e.pacer.Sent(now, t.epoch)
	}
}

// renewInterval is the time between two checks of the list of boxes for an endpoint with a limit.
const renewInterval = 250 * time.Millisecond

// renewShare updates this box's share of an endpoint's limit if the limit or the list of boxes has changed. It checks
// the list at most once per renewInterval, and after each change of the limit. The caller must hold t.mu.
func (t *Table) renewShare(e *endpoint, id string, now time.Time) {
	if now.Before(e.nextRenewal) {
		return
	}
	names, version := t.boxes(e.region)
	if e.nextRenewal.IsZero() || e.boxesVersion != version {
		e.pacer.SetShare(now, pacing.ShareOf(t.box, names, id, e.limit))
	}
	e.boxesVersion, e.nextRenewal = version, now.Add(renewInterval)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// endpointTTL is how long an endpoint is remembered after its last notice. An endpoint that is listed and has a notice
// in force is remembered longer. During an outage of the store, the endpoint's row can expire. The endpoint is then
// missing from the list, but for less than endpointTTL.
const endpointTTL = 10 * time.Minute

// Expire forgets endpoints that sent no notice for endpointTTL. It keeps those that are listed and have a notice in
// force.
func (t *Table) Expire(now time.Time, listed func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.byID {
		inForce := e.limit > 0 || e.leaving || now.Before(e.pausedUntil)
		if now.Sub(e.lastNoticeAt) > endpointTTL && !(inForce && listed(id)) {
			t.clearLimit(e)
			delete(t.byID, id)
			t.numEndpoints.Add(-1)
		}
	}
}

// Limited returns the number of endpoints with a limit.
func (t *Table) Limited() int { return int(t.numLimited.Load()) }
