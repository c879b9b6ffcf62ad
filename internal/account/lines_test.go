package account

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a log that engines fill whose reports can't be parsed, several times a second each.
func TestOddAnswersAreLoggedOnceAMinute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var o LineLimit
		expect := func(what, endpoint string, want bool) {
			t.Helper()
			if got := o.ShouldLog(what, endpoint); got != want {
				t.Errorf("%s of %s: expected %t, got %t", what, endpoint, want, got)
			}
		}
		expect("load", "a", true)
		expect("load", "a", false)
		expect("load", "b", true)
		expect("reservation", "a", true)
		for i := range maxLineSenders {
			o.ShouldLog("load", fmt.Sprint("e-", i))
		}
		expect("load", "c", false)
		if len(o.loggedAt) != maxLineSenders {
			t.Errorf("expected %d endpoints, got %d", maxLineSenders, len(o.loggedAt))
		}
		time.Sleep(lineInterval)
		expect("load", "a", true)
		expect("load", "c", true)
	})
}
