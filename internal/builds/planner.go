package builds

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/lease"
	"github.com/stoatramp/stoatramp/internal/origins"
)

// Table is the table of the platform's store that has the plans.
type Table interface {
	lease.Rows
	// List reads all rows whose keys begin with a prefix, as of one moment.
	List(ctx context.Context, prefix string) (rows map[string][]byte, err error)
}

// Boxes is what a planner knows of the other boxes.
type Boxes interface {
	// Rank returns the position of this box among the boxes of a region in the order in which they write a row. It is
	// negative if this box is in another region that has boxes.
	Rank(region, key string) int
	// PlanRules returns the version of the rules for plans that all boxes of a region know; 0 if some begin streams without
	// plans.
	PlanRules(region string) int
	// Count returns the number of boxes of a region.
	Count(region string) int
	// Isolated reports whether there are other boxes, and none of them sends this box anything.
	Isolated() bool
}

// Peers are the other boxes. They may reach the store when this box does not.
type Peers interface {
	// ConfirmOrigin has other boxes read from the store at which build a stream began (Planner.ConfirmOrigin). by is the box
	// that answered. ok is false if none can tell.
	ConfirmOrigin(ctx context.Context, g Group, s origins.Stream) (build, by string, ok bool)
}

// Options configure a Planner.
type Options struct {
	// Box and Region are this box's name and region.
	Box, Region string
	Table       Table
	Log         Log
	Boxes       Boxes
	// Era returns the newest known era of the store.
	Era func() int64
	// Now returns the time of day. It may jump by seconds.
	Now func() time.Time
	// Peers are asked for origins if this box can't read the store. It may be nil.
	Peers Peers
	// Age returns for how long neither the store nor a box that sends this box its tables has confirmed the plans, and ListAge
	// for how long the list of endpoints. They may be nil.
	Age, ListAge func() time.Duration
	// OnChange is called when a plan comes in force, and Failed with the error of a call to the store. before is nil for the
	// first plan of a group.
	OnChange func(before, after *Plan)
	Failed   func(what string, err error)
	// OnLogging is called when the store stops taking origins, and when it takes them again. It may be nil.
	OnLogging func(takes bool)
}

// Planner has the plans of all groups.
type Planner struct {
	o Options

	mu    sync.Mutex
	plans map[Group]*Plan
	// serving are the builds on the list of endpoints, weighted by their engines that begin streams.
	serving map[Group]Shares
	// listed are all builds on the list of endpoints, also those whose engines are leaving. hasList is set once there is a list.
	listed  map[Group][]string
	hasList bool
	// seen has the number of the last plan of a group that this box has read while the store was in the plan's era.
	seen map[Group]int64
	// restoredAt is when this box first saw that a group's plan is of an earlier era than the store.
	restoredAt map[Group]time.Time
	// rules says by region what the boxes know.
	rules map[string]ruleState
	// settledAt is when the builds that serve in a group last changed.
	settledAt map[Group]time.Time
	// servedAt is when a build last served. A build that is only in a plan counts as serving when this box first saw the plan.
	servedAt map[servedBuild]time.Time
	// read is set once the table was read.
	read bool
	// rejected are the rows of plans that no box can have written, by their keys. Each is parsed and logged once.
	rejected map[string]string
	// pendingSince is since when a group's plan has differed from what serves, and changedAt when it last changed.
	pendingSince, changedAt map[Group]time.Time
	// confirmed is when the last read of the table began that the store answered, and readBegan when the last one began.
	confirmed, readBegan time.Time
	reading              *tableRead
	// checkedAt is when Run last compared the plans with what serves, and outOfStepAt when it last was late by stallTime, or the
	// box isolated.
	checkedAt, outOfStepAt time.Time
	log                    originLog

	wake chan struct{}
}

type servedBuild struct {
	Group
	build string
}

const (
	// readTimeout bounds a read for which a caller waits.
	readTimeout = 300 * time.Millisecond
	// Reads of the table for callers that take streams up begin at most every confirmInterval.
	confirmInterval = 250 * time.Millisecond
	// writeTimeout bounds a write of a plan.
	writeTimeout = 700 * time.Millisecond
	// A plan changes at most every minChangeInterval. If only weights differ, it changes at most every minWeightInterval.
	minChangeInterval = time.Second
	minWeightInterval = 5 * time.Second
	// The first plan of a group waits until the list of endpoints has not changed for settleTime. New streams wait for it
	// for firstPlanWait, and are refused then.
	settleTime    = 200 * time.Millisecond
	firstPlanWait = time.Second
	// missingTime is for how long a build that serves no more keeps its share.
	missingTime = 2500 * time.Millisecond
	// maxFractionError is by how much the part of the streams of a build may differ from the build's part of the engines.
	maxFractionError = 0.15
	// A box waits rankDelay for each box that goes before it to change a plan, at most maxRank times.
	rankDelay = 300 * time.Millisecond
	maxRank   = 12
	// Of the boxes that start at once, those up to this rank read the table as soon as they know the endpoints.
	maxFirstReaders = 1
	// checkInterval is how often plans are compared with what serves.
	checkInterval = 500 * time.Millisecond
	// A box that stood still for stallTime, or was isolated, learns of changes within newsTime once another box reaches it.
	stallTime = 2 * time.Second
	newsTime  = 3 * time.Second
	// While boxes of earlier releases serve, a plan says so for unplannedTime, and again once half of that is over.
	unplannedTime = 2 * returnTime
	// After a restore of the store, a box that does not know whether the restored plan was the last one waits for
	// restoreSettleTime until endpoints are back on the list, and compares what serves.
	restoreSettleTime = 3 * time.Second
	// firstEra is the era of a store that has not been restored.
	firstEra = 1
)

// NewPlanner returns a planner without plans.
func NewPlanner(o Options) *Planner {
	if o.Now == nil {
		o.Now = time.Now
	}
	p := &Planner{
		o: o, plans: map[Group]*Plan{}, serving: map[Group]Shares{}, listed: map[Group][]string{},
		pendingSince: map[Group]time.Time{}, servedAt: map[servedBuild]time.Time{}, settledAt: map[Group]time.Time{}, changedAt: map[Group]time.Time{}, seen: map[Group]int64{}, restoredAt: map[Group]time.Time{}, rules: map[string]ruleState{}, wake: make(chan struct{}, 1),
	}
	p.log.init()
	return p
}

// Serving is what the list of endpoints says of a group.
type Serving struct {
	// Counts has the number of engines that begin streams, by build.
	Counts map[string]int
	// Listed are all builds.
	Listed []string
}

// SetServing sets what the list of endpoints says.
func (p *Planner) SetServing(groups map[Group]Serving) {
	serving, listed := make(map[Group]Shares, len(groups)), make(map[Group][]string, len(groups))
	for g, s := range groups {
		var shares Shares
		for build, n := range s.Counts {
			shares = append(shares, Share{build, n})
		}
		serving[g], listed[g] = shares.normalize(), s.Listed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := !maps.EqualFunc(p.serving, serving, slices.Equal)
	p.noteServed(p.serving) // They served until now.
	for g, shares := range serving {
		if !slices.Equal(shares, p.serving[g]) {
			p.settledAt[g] = clock.Now()
		}
	}
	p.serving, p.listed, p.hasList = serving, listed, true
	if changed {
		p.wakeUp()
	}
}

// noteServed records that builds serve now. p.mu is held.
func (p *Planner) noteServed(groups map[Group]Shares) {
	now := clock.Now()
	for g, shares := range groups {
		for _, s := range shares {
			p.servedAt[servedBuild{g, s.Build}] = now
		}
	}
	maps.DeleteFunc(p.servedAt, func(b servedBuild, at time.Time) bool {
		plan := p.plans[b.Group]
		return now.Sub(at) > missingTime && (plan == nil || !plan.Shares.has(b.build))
	})
}

func (p *Planner) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// SetRows reads the rows of the table. Rows of other kinds are ignored. A plan that the table lacks, or has in an older form,
// stays in force: the store was restored from an older copy.
func (p *Planner) SetRows(rows map[string][]byte) {
	changes := p.readRows(rows)
	for _, c := range changes {
		p.o.OnChange(c[0], c[1])
	}
}

func (p *Planner) readRows(rows map[string][]byte) (changes [][2]*Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.read = true
	rejected := map[string]string{}
	for key, value := range rows {
		if !strings.HasPrefix(key, planRowPrefix) {
			continue
		}
		if text, known := p.rejected[key]; known && text == string(value) {
			rejected[key] = text
			continue
		}
		plan, ok := parsePlan(key, value, p.o.Now())
		if !ok {
			rejected[key] = string(value)
			p.o.Failed("build plan rejected", fmt.Errorf("row %s: %w", key, errInvalidPlan))
			continue
		}
		if before, changed := p.adopt(plan); changed {
			changes = append(changes, [2]*Plan{before, plan})
		}
		if plan.Era >= p.o.Era() {
			p.seen[plan.Group] = max(p.seen[plan.Group], plan.Number)
		}
	}
	p.rejected = rejected
	p.wakeUp()
	return changes
}

var errInvalidPlan = errors.New("no box can have written it")

// adopt puts a plan in force if it is newer. p.mu is held.
func (p *Planner) adopt(plan *Plan) (before *Plan, changed bool) {
	before = p.plans[plan.Group]
	if !plan.newer(before) {
		return before, false
	}
	p.plans[plan.Group] = plan
	for _, s := range plan.Shares {
		if b := (servedBuild{plan.Group, s.Build}); p.servedAt[b].IsZero() {
			p.servedAt[b] = clock.Now()
		}
	}
	p.changedAt[plan.Group] = clock.Now()
	delete(p.pendingSince, plan.Group)
	return before, true
}

// Plans returns the plans in force, sorted by their groups.
func (p *Planner) Plans() []Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Plan, 0, len(p.plans))
	for _, plan := range p.plans {
		out = append(out, *plan)
	}
	slices.SortFunc(out, func(a, b Plan) int { return strings.Compare(a.Service+"\x00"+a.Region, b.Service+"\x00"+b.Region) })
	return out
}
