package relay

import (
	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// rejectAnswer counts an answer of an endpoint that can't be parsed, and logs what happened unless that was logged a short time
// ago.
func (r *Relay) rejectAnswer(what, endpoint string, err error) {
	r.m.AnswersRejected.Inc()
	if r.oddAnswers.ShouldLog(what, endpoint) {
		r.o.Recorder.Log.StateChange(what, zap.String("endpoint", endpoint), zap.Error(err))
	}
}

// rejectHead counts and logs a malformed answer of an endpoint.
func (r *Relay) rejectHead(q *h1.Request, err error) {
	sender := q.Endpoint
	if sender == "" {
		sender = q.Address
	}
	r.o.Recorder.MalformedAnswer(telemetry.OfEndpoint, sender, err)
}
