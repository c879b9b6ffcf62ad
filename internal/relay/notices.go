package relay

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/notice"
	"github.com/stoatramp/stoatramp/internal/overlay"
)

// This file handles the notices that endpoints send in the headers of their answers. A notice announces a request rate
// limit, a pause in requests, or that the endpoint is leaving.

// Limited returns the number of endpoints that have announced a request rate limit.
func (r *Relay) Limited() int { return r.notices.Limited() }

// observeRun handles the header of an endpoint's answer to a caller's request.
func (r *Relay) observeRun(q *h1.Request, resp *http.Response, sent time.Time) {
	reply := r.protocol.ParseReply(resp)
	ran := reply.Signed && !reply.NotRun && resp.StatusCode < http.StatusInternalServerError
	r.observe(q, resp, notice.Answer{Sent: sent, Completed: ran, Notice: reply.Notice})
}

// observeControl handles the header of an endpoint's answer to a control call, which the box itself has sent.
func (r *Relay) observeControl(q *h1.Request, resp *http.Response, sent time.Time) {
	r.observe(q, resp, notice.Answer{Sent: sent, Notice: r.protocol.ParseReply(resp).Notice})
}

// observe applies the notice in the header of an answer. If the other boxes must know the notice, it publishes the
// notice. An answer with the status "misdirected" is ignored, because it came from another endpoint than the called
// one.
func (r *Relay) observe(q *h1.Request, resp *http.Response, a notice.Answer) {
	if q.Via == "" {
		r.paths.Table.Answered(q.Address, clock.Now())
	}
	if q.Endpoint == "" || resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	a.Endpoint = q.Endpoint
	if a.Notice == (notice.Notice{}) && !r.notices.Has(a.Endpoint) {
		return
	}
	if r.applyNotice(a) {
		r.publish(overlay.Message{At: a.Sent, Notice: &overlay.Notice{Endpoint: a.Endpoint, Limit: a.Notice.Limit, Leaving: a.Notice.Leaving, Completed: a.Completed}})
	}
}

// receiveNotice applies a notice that another box has received from an endpoint. Endpoints outside this box's subset
// are ignored, because each notice of leaving makes the box recompute its whole subset.
func (r *Relay) receiveNotice(at time.Time, n *overlay.Notice) {
	if r.fleet.inSubset(n.Endpoint) {
		r.applyNotice(notice.Answer{Endpoint: n.Endpoint, Sent: at, Completed: n.Completed, Notice: notice.Notice{Limit: n.Limit, Leaving: n.Leaving}})
	}
}

// applyNotice applies the notice of an answer, and reports whether the notice must be published to the other boxes.
func (r *Relay) applyNotice(a notice.Answer) (publish bool) {
	e, _ := r.fleet.findCalled(a.Endpoint)
	a.Region = r.fleet.regionOf(e.Hall)
	for _, c := range r.notices.Observe(clock.Now(), a) {
		publish = r.recordNoticeChange(c, a) || publish
	}
	return publish
}

// recordNoticeChange logs and counts a change in what an endpoint has announced. It reports whether the notice must be
// published to the other boxes. If the endpoint is leaving, it also recomputes the box's subset.
func (r *Relay) recordNoticeChange(c notice.Change, a notice.Answer) (publish bool) {
	log := func(what string, fields ...zap.Field) {
		r.o.Recorder.Log.StateChange(what, append(fields, zap.String("endpoint", a.Endpoint))...)
	}
	switch c {
	case notice.LimitAnnounced:
		r.m.LimitNotices.Inc()
		log("endpoint announced a request rate limit", zap.Float64("requests_per_s", a.Notice.Limit))
		return true
	case notice.LimitRepeated:
		return true
	case notice.LimitLifted:
		r.m.LimitLiftedNotices.Inc()
		log("endpoint lifted its request rate limit")
		return true
	case notice.LeavingAnnounced:
		r.m.LeavingNotices.Inc()
		log("endpoint announced that it is leaving", zap.Duration("list_age", r.listAge()))
		r.applyFleet()
		return true
	case notice.PauseRequested:
		r.m.PauseNotices.Inc()
		log("endpoint asked for a pause in requests", zap.Duration("for", a.Notice.Pause))
	case notice.MalformedNotice:
		r.m.MalformedNotices.Inc()
		log("endpoint notice could not be parsed", zap.String("header", a.Notice.Malformed))
	}
	return false
}
