package quarantine

import (
	"maps"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// This file judges parts of prompts by the crashes and by the runs that lasted.

// updateParts finds the parts that the crashes speak against, after a change of the crashes or of what is cleared. It
// plans the rows that clear parts. l.mu must be held.
func (l *List) updateParts(now time.Time) {
	if len(l.parts.crashes) > smallUpdate && now.Sub(l.parts.updatedAt) < updateInterval {
		if !l.parts.updatePlanned {
			l.parts.updatePlanned = true
			time.AfterFunc(updateInterval, l.verifyParts)
		}
		return
	}
	l.parts.updatedAt, l.parts.updatePlanned = now, false
	if len(l.parts.crashes) == 0 {
		clear(l.parts.named)
		clear(l.parts.trials)
		if len(l.parts.verdicts) == 0 {
			return
		}
	}
	crashes := make(map[string]suspects, len(l.parts.crashes))
	for endpoint, c := range l.parts.crashes {
		if s := c.uncleared(); len(s) > 0 {
			crashes[endpoint] = s
		}
	}
	l.planClears(now)
	found := findParts(crashes)
	changes := []PartVerdict{}
	for p, old := range l.parts.verdicts {
		if _, still := found[p]; !still {
			v := *old
			v.State = Released
			changes = append(changes, v)
			delete(l.parts.verdicts, p)
		}
	}
	clear(l.parts.explained)
	for p, t := range found {
		v, changed := l.judge(p, t, now)
		if changed {
			changes = append(changes, *v)
		}
		l.parts.verdicts[p] = v
		for _, c := range t.crashes {
			l.parts.explained[c] = true
		}
	}
	l.publishVerdicts(changes)
}

// judge returns the verdict on a part that explains crashes, and whether its state has changed. l.mu must be held.
func (l *List) judge(p Part, t tally, now time.Time) (v *PartVerdict, changed bool) {
	v = &PartVerdict{Part: p, State: Suspected, Account: t.account, Bits: t.bits, Requests: t.requests, Crashes: t.crashes, Since: now, Shared: t.shared > 0}
	old := l.parts.verdicts[p]
	if old != nil {
		v.Since, v.askedAt = old.Since, old.askedAt
	}
	if v.askedAt.IsZero() && !l.hasUnwritten(t.crashes) {
		v.askedAt = now
		time.AfterFunc(verifyTime, l.verifyParts)
	}
	asked := !v.askedAt.IsZero() && now.Sub(v.askedAt) >= verifyTime
	if old == nil {
		if l.parts.verified {
			v.State = Quarantined
		} else {
			time.AfterFunc(maxVerifyTime, l.verifyParts)
		}
		return v, true
	}
	if old.State == Quarantined || asked || now.Sub(v.Since) >= maxVerifyTime || l.parts.verified {
		v.State = Quarantined
	}
	if old.State == Quarantined && len(v.Crashes) > len(old.Crashes) && now.Sub(v.Since) > verifyTime+l.firstTrialDelay(p) {
		l.delayTrial(p, now)
	}
	return v, old.State != v.State
}

// hasUnwritten reports whether the table may lack what this box observed of the crashes of endpoints. l.mu must be held.
func (l *List) hasUnwritten(endpoints []string) bool {
	for _, endpoint := range endpoints {
		for key := range l.parts.crashes[endpoint].rows {
			if row := l.rows[key]; row != nil && row.own && !row.writeAcked {
				return true
			}
		}
	}
	return false
}

// verifyParts quarantines the parts against which the evidence has stood for long enough.
func (l *List) verifyParts() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.parts.updatedAt = time.Time{}
	l.updateParts(clock.Now())
}

// publishVerdicts makes the verdicts visible to requests, and reports their changes. l.mu must be held.
func (l *List) publishVerdicts(changes []PartVerdict) {
	if len(l.parts.verdicts) == 0 {
		l.parts.current.Store(nil)
	} else {
		verdicts := maps.Clone(l.parts.verdicts)
		l.parts.current.Store(&verdicts)
	}
	if len(changes) == 0 {
		return
	}
	close(l.parts.changed)
	l.parts.changed = make(chan struct{})
	for f := range l.quarantined {
		if !l.verdict(f).Quarantined {
			delete(l.quarantined, f)
		}
	}
	if l.OnPart != nil {
		for _, v := range changes {
			l.OnPart(v)
		}
	}
}
