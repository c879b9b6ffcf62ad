package overlay

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestMembersMissingAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s members
		row := func(name string) []byte {
			m := Member{Name: name, Region: "r", Address: "127.0.0.1:1"}
			return m.encode()
		}
		expect := func(what string, size int, listed bool) {
			t.Helper()
			if _, got := s.get("b"); s.size() != size || got != listed {
				t.Errorf("%s: expected %d members, the second listed: %t, got %d, %t", what, size, listed, s.size(), got)
			}
		}
		older := map[string][]byte{"a": row("a")}
		whole := map[string][]byte{"a": row("a"), "b": row("b")}
		s.set(whole)
		expect("at first", 2, true)
		s.set(older)
		expect("a member that leaves", 1, false)
		s.set(whole)
		s.setRestored()
		s.set(older)
		expect("restored from an older copy", 2, false)
		s.set(older)
		expect("after another change", 2, false)
		s.set(whole)
		expect("listed again", 2, true)
		s.setRestored()
		s.set(older)
		time.Sleep(MissingRetention)
		s.set(older)
		expect("not listed again", 1, false)
	})
}
