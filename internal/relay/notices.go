package relay

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/notice"
)

// This file takes in what endpoints say of themselves in the heads of their answers.

// Limited is how many endpoints have a limit that they named in their answers.
func (r *Relay) Limited() int { return r.notices.Limited() }

// heardRun takes the head of the answer to a caller's request.
func (r *Relay) heardRun(q *h1.Request, resp *http.Response, sent time.Time) {
	reply := r.wire.Reply(resp)
	ran := reply.Signed && !reply.NotRun && resp.StatusCode < http.StatusInternalServerError
	r.heard(q, resp, notice.Answer{Sent: sent, Ran: ran, Notice: reply.Notice})
}

// heardSide takes the head of the answer to a call of this box's own.
func (r *Relay) heardSide(q *h1.Request, resp *http.Response, sent time.Time) {
	r.heard(q, resp, notice.Answer{Sent: sent, Notice: r.wire.Reply(resp).Notice})
}

// heard takes the head of an answer. A misdirected request was answered by another endpoint.
func (r *Relay) heard(q *h1.Request, resp *http.Response, a notice.Answer) {
	if q.Endpoint == "" || resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	a.Endpoint = q.Endpoint
	switch r.notices.Heard(clock.Now(), a) {
	case notice.LimitNamed:
		r.m.LimitsNamed.Inc()
		r.o.Book.Log.Belief("endpoint names a limit", zap.String("endpoint", a.Endpoint), zap.Float64("requests_per_s", a.Notice.Limit))
	case notice.LimitLifted:
		r.m.LimitsLifted.Inc()
		r.o.Book.Log.Belief("endpoint names no limit any more", zap.String("endpoint", a.Endpoint))
	case notice.Misread:
		r.m.NoticesUnread.Inc()
		r.o.Book.Log.Belief("endpoint notice not read", zap.String("endpoint", a.Endpoint), zap.String("header", a.Notice.Unread))
	}
}
