package pacing

// This file bounds what all boxes together send to a cold endpoint, which is one that has just started and can serve
// only a few requests per second yet.
//
// The bound is far smaller than one request per box: for example 58 requests per second plus 5, for 986 boxes. So only
// a few boxes send anything to an endpoint while it is cold.
//
// Alternatives: one box, the owner of the endpoint, could admit each request. Then every box could send, but each
// request would cost a call to the owner, no request would be admitted while the owner is unavailable, and twice the
// bound while two boxes act as owner. The boxes could also lend their shares of the bound to the owner, with the same
// drawbacks but fewer calls. Boxes that may not send use other endpoints for the few seconds in which one is cold.

import (
	"math"
	"time"
)

// ColdLimits say how far all boxes together may exceed the configured rate of a cold endpoint, in requests per second.
// With the zero value they may not exceed it.
type ColdLimits struct {
	// Factor multiplies the rate. A factor below 1 counts as 1.
	Factor float64
	// Slack is the number of requests per second allowed in addition.
	Slack float64
}

// maxPerSecond returns the most requests that an endpoint with the given rate may receive in any second.
func (l ColdLimits) maxPerSecond(rate float64) float64 { return rate*max(1, l.Factor) + l.Slack }

const (
	// coldUsableShare is the share of the bound that is distributed among the boxes. The other half is for two
	// cases: boxes whose lists of boxes differ for some seconds, and requests that are sent in two different
	// seconds but arrive in the same one.
	coldUsableShare = 0.5
	// requestsPerSender is how many requests per second each selected box may send: one at any moment plus its
	// sustained rate. With fewer senders and more requests for each, more boxes could send nothing.
	requestsPerSender = 2
)

// ColdPace is the least time between two requests of one box to a cold endpoint, or 0 if the box may send none.
type ColdPace time.Duration

// Cold says until when an endpoint is cold, and at which pace this box may send to it until then. The zero value means
// that the endpoint is not cold.
type Cold struct {
	Until time.Time
	Pace  ColdPace
}

// Blocks reports whether this box must not send to the endpoint now. sent is when the box last sent to the endpoint.
func (c Cold) Blocks(now, sent time.Time) bool {
	return now.Before(c.Until) && (c.Pace == 0 || now.Before(sent.Add(time.Duration(c.Pace))))
}

// NewColdPace returns the pace at which a box may send to a cold endpoint that can serve rate requests per second.
// boxes are all boxes that may send to the endpoint.
//
// Example: with a rate of 39, a factor of 1.5 and a slack of 5, the bound is 63.5 requests in any second. Half of the
// bound is divided among 15 boxes. Each of these may send at once, and then again every 896 ms.
func NewColdPace(box string, boxes []string, endpoint string, rate float64, l ColdLimits) ColdPace {
	bound := l.maxPerSecond(rate)
	usable := max(coldUsableShare*bound, min(bound, requestsPerSender))
	senders := min(max(1, int(usable/requestsPerSender)), len(boxes))
	if senders == 0 || !selected(box, boxes, endpoint, senders) {
		return 0
	}
	// At any moment a box may send one request at once, so in a second it sends one more than its sustained rate.
	sustainedRate := usable/float64(senders) - 1
	if sustainedRate <= 0 {
		return 0
	}
	return ColdPace(math.Ceil(float64(time.Second) / sustainedRate))
}
