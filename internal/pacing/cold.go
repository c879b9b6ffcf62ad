package pacing

// This file bounds what is sent to an endpoint that has just started and bears only a few requests a
// second yet.
//
// The bound is far smaller than one request for each box: 58 a second and 5 beside them, for 986 boxes. So
// only a few boxes send at all while an endpoint is cold.
//
// Weighed against a home that gives each request its leave: that serves every box, and costs a call
// for each request, nothing while the home is away, and twice the bound where two boxes take
// themselves for it. Against lent parts: the same, but for fewer calls. The boxes that may not send
// have other endpoints for the few seconds that one is cold.

import (
	"math"
	"time"
)

// ColdLimits say how far all boxes together may go beyond the rate that a cold endpoint is configured to
// bear. The zero value allows that rate and nothing more.
type ColdLimits struct {
	// Over multiplies the rate; less than 1 counts as 1.
	Over float64
	// Slack is how many requests may come in any second beside that.
	Slack float64
}

// most is how many requests an endpoint that bears a rate may get in any second.
func (l ColdLimits) most(rate float64) float64 { return rate*max(1, l.Over) + l.Slack }

const (
	// used is the part of the bound that is given out. The rest is for boxes whose lists of boxes
	// differ for some seconds, and for requests of two seconds that arrive in one.
	used = 0.5
	// perSender is how many requests a second each box that may send has: one that comes at any
	// moment and one as its pace. Fewer boxes with more each would leave more boxes without any.
	perSender = 2
)

// ColdPace is the least time between two requests of one box to an endpoint; 0 if it may send none.
type ColdPace time.Duration

// Cold is an endpoint's start as one box sees it: until when the endpoint is cold, and how often
// this box may send to it until then. The zero value is an endpoint that is not cold.
type Cold struct {
	Until time.Time
	Pace  ColdPace
}

// Holds says that an endpoint this box sent to last at a time gets nothing more of it now.
func (s Cold) Holds(now, sent time.Time) bool {
	return now.Before(s.Until) && (s.Pace == 0 || now.Before(sent.Add(time.Duration(s.Pace))))
}

// ColdPaceOf is the pace of a box, among all boxes that may send to a cold endpoint which bears a rate of
// requests a second.
//
// Example: 39 a second, 1.5 times as many and 5 more are 63.5 in any second. Half of that is given to
// 15 boxes, of which each sends at once, and again every 896 ms.
func ColdPaceOf(box string, boxes []string, endpoint string, rate float64, l ColdLimits) ColdPace {
	most := l.most(rate)
	given := max(used*most, min(most, perSender))
	senders := min(max(1, int(given/perSender)), len(boxes))
	if senders == 0 || !selected(box, boxes, endpoint, senders) {
		return 0
	}
	// In any second a box sends one request more than its rate.
	each := given/float64(senders) - 1
	if each <= 0 {
		return 0
	}
	return ColdPace(math.Ceil(float64(time.Second) / each))
}
