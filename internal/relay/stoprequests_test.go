package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
)

// Guards against the end of a stopped run that counts as the end of its stream, and against whole streams that are broken off.
func TestRequestsThatMayHaveStoppedARun(t *testing.T) {
	at := time.Now()
	answered := &migrationResult{answeredAt: at}
	late := at.Add(2 * lifeMargin)
	for _, tt := range []struct {
		name  string
		play  func(s *stopRequests)
		doubt bool
	}{
		{"none", func(*stopRequests) {}, false},
		{"under way", func(s *stopRequests) { s.begin("e") }, true},
		{"not sent", func(s *stopRequests) { s.begin("e"); s.settle("e", &migrationResult{}) }, false},
		{"answered without a handle", func(s *stopRequests) { s.begin("e"); s.settle("e", answered) }, true},
		{"and bytes from before the answer", func(s *stopRequests) { s.settle("e", answered); s.noteBytes("e", at) }, true},
		{"and bytes after it", func(s *stopRequests) { s.settle("e", answered); s.noteBytes("e", late) }, false},
		{"and bytes of another engine after it", func(s *stopRequests) { s.settle("e", answered); s.noteBytes("f", late) }, true},
		{"and a new run", func(s *stopRequests) { s.settle("e", answered); s.beginRun("e") }, false},
		{"unanswered", func(s *stopRequests) { s.settle("e", &migrationResult{unanswered: true}) }, true},
		{"unanswered, and bytes long after it", func(s *stopRequests) {
			s.settle("e", &migrationResult{unanswered: true})
			s.noteBytes("e", at.Add(time.Hour))
		}, true},
		{"unanswered, and a new run", func(s *stopRequests) { s.settle("e", &migrationResult{unanswered: true}); s.beginRun("e") }, true},
		{"unanswered, then answered", func(s *stopRequests) {
			s.settle("e", &migrationResult{unanswered: true, answeredAt: at})
			s.noteBytes("e", late)
		}, true},
		{"answered with a handle", func(s *stopRequests) {
			s.settle("e", &migrationResult{source: Source{Handle: "h"}, answeredAt: at})
		}, false},
		{"a second request after bytes", func(s *stopRequests) {
			s.settle("e", answered)
			s.noteBytes("e", late)
			s.settle("e", &migrationResult{answeredAt: late})
		}, true},
		{"another engine", func(s *stopRequests) { s.settle("f", &migrationResult{unanswered: true}) }, false},
	} {
		var s stopRequests
		if tt.play(&s); s.mayHaveStopped("e") != tt.doubt {
			t.Errorf("%s: expected doubt %t", tt.name, tt.doubt)
		}
	}
}

// Guards against bytes that waited in the box while the engine answered, and that are taken for a sign that the run goes on.
func TestBytesThatWaitedToBeReadAreNoSignOfLife(t *testing.T) {
	for _, quiet := range []bool{false, true} {
		var s stopRequests
		s.settle("e", &migrationResult{answeredAt: time.Now().Add(-time.Second)})
		r := lifeReader{&s, "e", func() bool { return quiet }, func([]byte) (int, error) { return 1, nil }}
		if _, err := r.Read(make([]byte, 1)); err != nil || s.mayHaveStopped("e") == quiet {
			t.Errorf("no byte waited %t: expected doubt %t", quiet, !quiet)
		}
	}
}

// Guards against a migration request for a stream whose end was read before: the answer would leave a whole stream in doubt.
func TestEndedStreamIsNotAskedToMigrate(t *testing.T) {
	r, f, _ := arrivedFlight(t, t.Context(), decide.Request{}, "writer", "other")
	r.controlPool.Dial = func(context.Context, string) (net.Conn, string, error) {
		t.Error("a request is about to be sent")
		return nil, "", net.ErrClosed
	}
	f.x.deadline = time.Now().Add(time.Second)
	f.endedAttempt.Store(7)
	f.stopRequests.begin("writer")
	f.callMigrate(decide.Migrate{Attempt: 8, From: "writer", To: "other"}, 7)
	ev := <-f.events
	f.stopRequests.settle("writer", ev.migrated)
	if f.stopRequests.mayHaveStopped("writer") {
		t.Errorf("expected no doubt, got %+v", ev.migrated)
	}
}
