package pacing

// This file bounds what all boxes together send to a cold endpoint. An endpoint is cold when it has just started and
// can serve only a few requests per second yet.
//
// The bound is far smaller than one request per box: for example 58 requests per second plus 5, for 986 boxes. So only
// a few boxes send anything to an endpoint while it is cold.
//
// Alternative: one box, the owner of the endpoint, could admit each request. Then every box could send. But each
// request would cost a call to the owner, and no request would be admitted while the owner is unavailable. While two
// boxes act as owner, twice the bound would be admitted.
//
// Alternative: the boxes could lend their shares of the bound to the owner. This has the same drawbacks with fewer
// calls.
//
// Boxes that may not send to a cold endpoint use other endpoints. An endpoint is cold only for a few seconds.

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
	// requestsPerSender is how many requests each selected box may send in any second. One request may come at any
	// moment, and the others follow at the sustained rate. With a higher value, fewer boxes could send.
	requestsPerSender = 2
)

// ColdPace is the least time between two requests of one box to a cold endpoint, or 0 if the box may send none.
type ColdPace time.Duration

// Cold says until when an endpoint is cold, and at which pace this box may send to it in that time. The zero value
// means that the endpoint is not cold.
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
// bound is divided among 15 boxes. Each of the 15 may send one request immediately, and then another every 896 ms.
func NewColdPace(box string, boxes []string, endpoint string, rate float64, l ColdLimits) ColdPace {
	bound := l.maxPerSecond(rate)
	usable := max(coldUsableShare*bound, min(bound, requestsPerSender))
	senders := min(max(1, int(usable/requestsPerSender)), len(boxes))
	if senders == 0 || !Selected(box, boxes, endpoint, senders) {
		return 0
	}
	// At any moment a box may send one request. So in any second it can send one request more than its sustained
	// rate.
	sustainedRate := usable/float64(senders) - 1
	if sustainedRate <= 0 {
		return 0
	}
	return ColdPace(math.Ceil(float64(time.Second) / sustainedRate))
}
