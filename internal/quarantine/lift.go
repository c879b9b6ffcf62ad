package quarantine

import (
	"cmp"
	"slices"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// LiftPart lets requests with a part be sent to endpoints again, at all boxes. The crashes that count against the part
// count neither against it any more nor against the requests that ran there. If the part crashes endpoints again, it is
// quarantined again. LiftPart reports whether any crash counted against the part.
func (l *List) LiftPart(p Part) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.clearPart(p)
	for _, c := range changed {
		for _, record := range l.crashes {
			if record.Endpoint == c.endpoint {
				l.drop(record.key(), l.rows[record.key()].writeAttempted)
			}
		}
	}
	if len(changed) > 0 {
		l.writeClear(p)
		l.updateParts(clock.Now())
	}
	return len(changed) > 0
}

// LiftRequest lets a request be sent to endpoints again, at all boxes. It reports whether any crash counted against the
// request.
func (l *List) LiftRequest(f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := len(l.byRequest[f]) > 0
	l.dropRequest(f)
	return known
}

// RequestVerdict is the evidence against a whole request.
type RequestVerdict struct {
	Request Fingerprint
	Verdict
}

// Requests returns the verdicts on all quarantined requests, those with the most evidence first.
func (l *List) Requests() (out []RequestVerdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f := range l.byRequest {
		if v := l.verdict(f); v.Quarantined {
			out = append(out, RequestVerdict{f, v})
		}
	}
	slices.SortFunc(out, func(a, b RequestVerdict) int {
		return cmp.Or(cmp.Compare(b.Bits, a.Bits), cmp.Compare(a.Request.String(), b.Request.String()))
	})
	return out
}
