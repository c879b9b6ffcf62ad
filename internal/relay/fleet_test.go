package relay

import (
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
)

// roleScene is a fleet of one engine. The engine's role changes over time, in the list and in the engine's own reports.
// Times are relative to start.
type roleScene struct {
	t     *testing.T
	f     fleet
	start time.Time
}

func (s *roleScene) list(at time.Duration, role decide.EngineRole) {
	s.f.endpoints = []Endpoint{{ID: "e", Role: role}}
	s.f.applyListedRoles(s.start.Add(at))
}

func (s *roleScene) report(at time.Duration, role decide.EngineRole) {
	s.f.applyReportedRole("e", role, s.start.Add(at))
}

func (s *roleScene) expect(what string, role decide.EngineRole) {
	s.t.Helper()
	if got := s.f.roles["e"].role(); got != role {
		s.t.Errorf("%s: expected the role %s, got %s", what, role, got)
	}
}

// TestReportedRole checks a box that cannot reach the platform's store. The box must learn an engine's role from the
// engine itself. A report must not count if it is older than the role that the list shows.
func TestReportedRole(t *testing.T) {
	s := roleScene{t: t, start: time.Unix(1_800_000_000, 0)}
	s.list(10*time.Second, decide.Decode)
	s.expect("listed", decide.Decode)
	s.report(9*time.Second, decide.Prefill)
	s.expect("an older report", decide.Decode)
	s.report(13*time.Second, decide.Prefill)
	s.expect("a newer report", decide.Prefill)
	s.list(14*time.Second, decide.Decode)
	s.expect("the list as it was", decide.Prefill)
	s.list(15*time.Second, decide.Prefill)
	s.expect("the list caught up", decide.Prefill)
	s.list(16*time.Second, decide.Decode)
	s.expect("the list changed", decide.Decode)
	s.report(15500*time.Millisecond, decide.Prefill)
	s.expect("a report from before the change", decide.Decode)
}
