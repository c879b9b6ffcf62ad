package quota

import (
	"context"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// granting grants whatever is asked for and as much ahead, and counts the questions.
type granting struct{ asked int }

func (g *granting) Allow(_ context.Context, _ string, units, _ float64) (Answer, bool) {
	g.asked++
	return Answer{Granted: units + 100, Part: 1}, true
}

// What a box was granted before it was suspended has run out when it wakes: its home has given the
// same units to others since.
func TestSuspendedPurse(t *testing.T) {
	var asleep time.Duration
	defer clock.Set(func() time.Duration { return asleep })()
	homes := &granting{}
	p := NewPurse(homes)
	p.Take(context.Background(), "a", 1)
	p.Take(context.Background(), "a", 1)
	if homes.asked != 1 {
		t.Fatalf("expected the second request to be within what was granted, got %d questions", homes.asked)
	}
	asleep = 2 * grantLife
	p.Take(context.Background(), "a", 1)
	if homes.asked != 2 {
		t.Errorf("expected a question after the suspension, got %d", homes.asked)
	}
}

// Parts that others lent to a box are theirs again when it wakes.
func TestSuspendedHome(t *testing.T) {
	var asleep time.Duration
	defer clock.Set(func() time.Duration { return asleep })()
	p := NewPool()
	p.SetLimits(clock.Now(), map[string]Limit{"a": {Rate: 100, Burst: 100}})
	p.SetPlace(clock.Now(), GroupOf("a"), Place{Boxes: 2})
	p.Lend(clock.Now(), "other", []int{GroupOf("a")}, false, 3*time.Second)
	awake, _ := p.Ask(clock.Now(), "a", 1, 0)
	asleep = 4 * time.Second
	woken, _ := p.Ask(clock.Now(), "a", 1, 0)
	if awake.Part != 0.5 || woken.Part != 0 {
		t.Errorf("expected the lent half and nothing after the suspension, got %g, then %g", awake.Part, woken.Part)
	}
}
