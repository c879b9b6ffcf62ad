package pacing

// This file bounds what is sent to an endpoint that has just started and can serve only a few requests per
// second yet.
//
// The bound is far smaller than one request per box: 58 per second plus 5, for 986 boxes. So only a few
// boxes send anything while an endpoint is cold.
//
// Alternatives: an owner that admits each request would serve every box, but costs a call per request,
// admits nothing while the owner is unavailable, and twice the bound while two boxes act as owner. Shares
// lent to an owner have the same drawbacks with fewer calls. Boxes that may not send have other endpoints
// for the few seconds in which one is cold.

import (
	"math"
	"time"
)

// ColdLimits say how far all boxes together may exceed the configured rate of a cold endpoint. The zero value
// allows that rate and nothing more.
type ColdLimits struct {
	// Factor multiplies the rate; less than 1 counts as 1.
	Factor float64
	// Slack is the number of requests per second allowed in addition.
	Slack float64
}

// maxPerSecond is the most requests that an endpoint with the given rate may get in any second.
func (l ColdLimits) maxPerSecond(rate float64) float64 { return rate*max(1, l.Factor) + l.Slack }

const (
	// coldUsableShare is the share of the bound that is distributed. The rest is for boxes whose lists of
	// boxes differ for some seconds, and for requests sent in two different seconds that arrive in one.
	coldUsableShare = 0.5
	// requestsPerSender is how many requests per second each selected box gets: one at any moment plus its
	// sustained rate. Fewer senders with more requests each would leave more boxes without any.
	requestsPerSender = 2
)

// ColdPace is the minimum time between two requests of one box to an endpoint; 0 if it may send none.
type ColdPace time.Duration

// Cold says until when an endpoint is cold, and how often this box may send to it until then. The zero value
// is an endpoint that is not cold.
type Cold struct {
	Until time.Time
	Pace  ColdPace
}

// Blocks reports whether this box, which last sent to the endpoint at sent, must not send to it now.
func (c Cold) Blocks(now, sent time.Time) bool {
	return now.Before(c.Until) && (c.Pace == 0 || now.Before(sent.Add(time.Duration(c.Pace))))
}

// NewColdPace returns the pace of a box, among all boxes that may send to a cold endpoint that can serve rate
// requests per second.
//
// Example: with a rate of 39, a factor of 1.5 and a slack of 5, the bound is 63.5 requests in any second. Half
// of it is divided among 15 boxes, each of which sends at once, and then again every 896 ms.
func NewColdPace(box string, boxes []string, endpoint string, rate float64, l ColdLimits) ColdPace {
	bound := l.maxPerSecond(rate)
	usable := max(coldUsableShare*bound, min(bound, requestsPerSender))
	senders := min(max(1, int(usable/requestsPerSender)), len(boxes))
	if senders == 0 || !selected(box, boxes, endpoint, senders) {
		return 0
	}
	// In any second, a box sends one request more than its sustained rate.
	sustainedRate := usable/float64(senders) - 1
	if sustainedRate <= 0 {
		return 0
	}
	return ColdPace(math.Ceil(float64(time.Second) / sustainedRate))
}
