package account

import (
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
)

const (
	// lineInterval is the least time between two log lines about faulty answers of one sender. All endpoints of a faulty version
	// may send such answers, several times a second.
	lineInterval = time.Minute
	// maxLineSenders bounds the senders that are remembered.
	maxLineSenders = 1000
)

// LineLimit limits the log lines about faulty answers. Its zero value is ready for use.
type LineLimit struct {
	mu       sync.Mutex
	loggedAt map[string]time.Time // By what is logged, and the sender.
}

// ShouldLog reports whether a line about a sender is due.
func (l *LineLimit) ShouldLog(what, sender string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key, now := what+" "+sender, clock.Now()
	if at, logged := l.loggedAt[key]; logged && now.Sub(at) < lineInterval {
		return false
	}
	if len(l.loggedAt) >= maxLineSenders {
		maps.DeleteFunc(l.loggedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= lineInterval })
	}
	if l.loggedAt == nil {
		l.loggedAt = map[string]time.Time{}
	}
	if len(l.loggedAt) < maxLineSenders {
		l.loggedAt[key] = now
		return true
	}
	return false
}

// MalformedAnswer counts an answer whose head was malformed or without end, and logs it unless that was done a short time ago.
// of is one of telemetry's senders, and address is the sender's address or the endpoint's ID.
func (b *Recorder) MalformedAnswer(of, address string, err error) {
	b.Metrics.MalformedAnswers[of].Inc()
	if b.lines.ShouldLog(of, address) {
		b.Log.StateChange("malformed answer", zap.String("of", of), zap.String("sender", address), zap.Error(err))
	}
}
