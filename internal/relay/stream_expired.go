package relay

import (
	"github.com/stoatramp/stoatramp/internal/outcome"
)

// This file ends streams whose time is over or whose caller has left.

// finishExpired ends a request whose context has ended. If the whole answer was received before the context ended, and
// the caller is still connected, the answer is still delivered. This happens when the box got no processor time for a
// while. The box then finds the end of the answer and the passed deadline at the same moment. Otherwise nothing more is
// sent to the caller. received has the event that the loop has already taken from f.events, if there is such an event.
func (f *flight) finishExpired(received ...flightEvent) outcome.Outcome {
	list, whole := f.collectUntilEnd(received)
	for _, ev := range list {
		if !whole || f.x.req.Context().Err() != nil {
			f.freeEvent(ev)
			continue
		}
		if o, end := f.handleEvent(ev); end {
			return o
		}
	}
	return f.expiredOutcome()
}

// collectUntilEnd appends events that wait in f.events to list, and returns the new list. It stops at the end of an
// answer, at a failed call, or when no event waits. whole is set if the list has the end of an answer.
func (f *flight) collectUntilEnd(list []flightEvent) (_ []flightEvent, whole bool) {
	for n := 0; ; n++ {
		if n == len(list) {
			select {
			case ev := <-f.events:
				list = append(list, ev)
			default:
				return list, false
			}
		}
		if ev := &list[n]; ev.ended || ev.errorAnswer != nil || ev.err != nil {
			return list, ev.err == nil
		}
	}
}

// expiredOutcome returns the outcome of a request whose context ended before the answer was complete. The context ends
// when the caller leaves or when the request's time is over.
func (f *flight) expiredOutcome() outcome.Outcome {
	if f.x.req.Context().Err() != nil {
		return callerGoneOutcome()
	}
	o := outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.WaitExpired, RetryAfter: jitter(streamRetryAfter)}
	if f.decodeAttempt != 0 {
		o = outcome.Outcome{Kind: outcome.MayHaveRun, Reason: outcome.DecodeSilent, Detail: "the request's time was over"}
	}
	if f.x.begun {
		o.Kind = outcome.CutOff
	}
	return o
}
