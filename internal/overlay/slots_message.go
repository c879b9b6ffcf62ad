package overlay

import (
	"time"

	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/slots"
)

func encodeCell(c slots.Cell) *v1.SlotCell {
	return &v1.SlotCell{Service: c.Service, Region: c.Region, Index: int32(c.Index)}
}

func decodeCell(m *v1.SlotCell) (c slots.Cell, ok bool) {
	c = slots.Cell{Service: m.GetService(), Region: m.GetRegion(), Index: int(m.GetIndex())}
	return c, validName(c.Service) && validText(c.Region) && c.Index >= 0 && c.Index < maxCellIndex
}

// encodeSlotTime encodes a duration in microseconds. Durations beyond the bounds of the protocol are changed to the
// nearest bound.
func encodeSlotTime(d time.Duration) int64 { return max(0, min(d, maxSlotTime)).Microseconds() }

func decodeSlotTime(us int64) (d time.Duration, ok bool) {
	return time.Duration(us) * time.Microsecond, us >= 0 && us <= maxSlotTime.Microseconds()
}

func encodeSlotRequest(c slots.Cell, r slots.Request) *v1.AcquireSlotRequest {
	return &v1.AcquireSlotRequest{
		Cell: encodeCell(c), Id: r.ID, Box: r.Box, Hall: r.Hall, Account: r.Account, Weight: r.Weight, Priority: int32(min(r.Priority, maxPriority)),
		OnTimeUs: encodeSlotTime(r.OnTime), LeftUs: encodeSlotTime(r.Left), Returning: r.Returning, Exclude: r.Exclude[:min(len(r.Exclude), maxExcluded)],
	}
}

func decodeSlotRequest(m *v1.AcquireSlotRequest) (c slots.Cell, r slots.Request, ok bool) {
	c, cellOK := decodeCell(m.Cell)
	onTime, onTimeOK := decodeSlotTime(m.OnTimeUs)
	left, leftOK := decodeSlotTime(m.LeftUs)
	ok = cellOK && onTimeOK && leftOK && validName(m.Id) && validName(m.Box) && validText(m.Hall) && validText(m.Account) &&
		m.Weight >= 0 && m.Weight <= maxSlotWeight && // NaN fails both comparisons.
		m.Priority >= 0 && m.Priority <= maxPriority && len(m.Exclude) <= maxExcluded
	for _, e := range m.Exclude {
		ok = ok && validName(e)
	}
	r = slots.Request{
		ID: m.Id, Box: m.Box, Hall: m.Hall, Account: m.Account, Weight: m.Weight, Priority: int(m.Priority), OnTime: onTime, Left: left,
		Returning: m.Returning, Exclude: m.Exclude,
	}
	return c, r, ok
}

// encodeGrantor adds the last grant of the asking box to a request.
func encodeGrantor(m *v1.AcquireSlotRequest, g slotGrantor, now time.Time) {
	if g.name != "" {
		m.LastOwner, m.LastIncarnation, m.LastAgeUs = g.name, g.incarnation, encodeSlotTime(now.Sub(g.at))
	}
}

// decodeGrantor returns the last grant of the asking box. The name is empty if there is none.
func decodeGrantor(m *v1.AcquireSlotRequest, now time.Time) (g slotGrantor, ok bool) {
	if m.LastOwner == "" {
		return slotGrantor{}, m.LastIncarnation == 0 && m.LastAgeUs == 0
	}
	age, ok := decodeSlotTime(m.LastAgeUs)
	return slotGrantor{m.LastOwner, m.LastIncarnation, now.Add(-age)}, ok && age <= slotGrantMemory && validName(m.LastOwner) && m.LastIncarnation >= 0
}

// The protocol's values of slots.State, slots.Reason and slots.Outcome are one higher, since 0 stands for a value that
// was not sent.

func encodeDecision(d slots.Decision, busy bool) *v1.AcquireSlotResponse {
	out := &v1.AcquireSlotResponse{
		State: v1.SlotState(d.State) + 1, WaitUs: encodeSlotTime(d.Wait), Waiting: encodeSlotCount(d.Waiting), InUse: encodeSlotCount(d.InUse),
		Limit: encodeSlotCount(d.Limit), Busy: busy,
	}
	switch d.State {
	case slots.Granted:
		out.Endpoint = d.Endpoint
	case slots.Refused:
		out.Reason, out.RetryAfterUs = v1.SlotReason(d.Reason)+1, encodeSlotTime(d.RetryAfter)
	}
	return out
}

func encodeSlotCount(n int) int32 { return int32(max(0, min(n, maxSlots))) }

func decodeDecision(m *v1.AcquireSlotResponse) (d slots.Decision, ok bool) {
	wait, waitOK := decodeSlotTime(m.WaitUs)
	retryAfter, retryOK := decodeSlotTime(m.RetryAfterUs)
	ok = waitOK && retryOK
	for _, n := range []int32{m.Waiting, m.InUse, m.Limit} {
		ok = ok && n >= 0 && n <= maxSlots
	}
	ok = ok && validText(m.Owner) && validText(m.YieldsTo) && m.Incarnation >= 0
	d = slots.Decision{Wait: wait, Waiting: int(m.Waiting), InUse: int(m.InUse), Limit: int(m.Limit)}
	switch m.State {
	case v1.SlotState_SLOT_STATE_QUEUED:
		d.State = slots.Queued
	case v1.SlotState_SLOT_STATE_GRANTED:
		d.State, d.Endpoint = slots.Granted, m.Endpoint
		ok = ok && validName(m.Endpoint)
	case v1.SlotState_SLOT_STATE_REFUSED:
		ok = ok && m.Reason > v1.SlotReason_SLOT_REASON_UNSPECIFIED && m.Reason <= v1.SlotReason_SLOT_REASON_STOPPING
		d.State, d.Reason, d.RetryAfter = slots.Refused, slots.Reason(m.Reason-1), retryAfter
	default:
		ok = false
	}
	return d, ok
}

func encodeRelease(id string, res slots.Result) *v1.SlotRelease {
	return &v1.SlotRelease{Id: id, Outcome: v1.SlotOutcome(res.Outcome) + 1, TookUs: encodeSlotTime(res.Took)}
}

type release struct {
	id     string
	result slots.Result
}

func decodeReleases(m *v1.ReleaseSlotRequest) (c slots.Cell, list []release, ok bool) {
	c, ok = decodeCell(m.Cell)
	if !ok || !validName(m.Box) || len(m.Releases) > maxReleases {
		return c, nil, false
	}
	for _, r := range m.Releases {
		took, tookOK := decodeSlotTime(r.GetTookUs())
		if !tookOK || !validName(r.GetId()) || r.GetOutcome() <= v1.SlotOutcome_SLOT_OUTCOME_UNSPECIFIED || r.GetOutcome() > v1.SlotOutcome_SLOT_OUTCOME_UNUSED {
			return c, nil, false
		}
		list = append(list, release{r.Id, slots.Result{Outcome: slots.Outcome(r.Outcome - 1), Took: took}})
	}
	return c, list, true
}
