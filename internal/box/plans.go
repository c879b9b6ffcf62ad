package box

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/builds"
	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/origins"
	"github.com/stoatramp/stoatramp/internal/overlay"
)

// This file connects the plans of builds to the box.

// planBoxes is what the planner knows of the other boxes.
type planBoxes struct{ b *RelayBox }

// Rank returns 0 for a box without peers: conditional writes decide between several such boxes.
func (p planBoxes) Rank(region, key string) int {
	if p.b.settings.Load().Peers == "" {
		return 0
	}
	return p.b.node.PlanRank(region, key)
}

func (p planBoxes) Count(region string) int {
	if p.b.settings.Load().Peers == "" {
		return 1
	}
	return p.b.node.CountIn(region)
}

func (p planBoxes) Isolated() bool {
	return p.b.settings.Load().Peers != "" && p.b.node.Isolated()
}

func (p planBoxes) PlanRules(region string) int {
	if p.b.settings.Load().Peers == "" {
		return overlay.PlanRulesByID
	}
	return p.b.node.PlanRules(region)
}

// planPeers asks other boxes at which build a stream began.
type planPeers struct{ b *RelayBox }

func (p planPeers) ConfirmOrigin(ctx context.Context, g builds.Group, s origins.Stream) (build, by string, ok bool) {
	return p.b.node.ConfirmOrigin(ctx, g.Service, g.Region, s)
}

// confirmOrigin tells another box at which build a stream began.
func (b *RelayBox) confirmOrigin(ctx context.Context, service, region string, s origins.Stream) (build string, ok bool) {
	return b.plans.ConfirmOrigin(ctx, builds.Group{Service: service, Region: region}, s)
}

func (b *RelayBox) newPlanner(site Site, cfg *config.Relay) *builds.Planner {
	var peers builds.Peers // Stays nil for a box without peers.
	if cfg.Peers != "" {
		peers = planPeers{b}
	}
	return builds.NewPlanner(builds.Options{
		Box: cfg.Name, Region: cfg.Region, Table: site.BuildPlans, Log: site.OriginLog, Boxes: planBoxes{b}, Peers: peers,
		Era: func() int64 {
			if e := b.storeEra.Load(); e != nil {
				return e.era
			}
			return 0
		},
		Age:      b.crashesFreshness.Age,
		ListAge:  b.listFreshness.Age,
		OnChange: b.logPlan,
		Failed:   func(what string, err error) { b.recorder.Log.StateChange(what, zap.Error(err)) },
		OnLogging: func(takes bool) {
			if takes {
				b.recorder.Log.StateChange("store takes origins of streams again")
				return
			}
			b.recorder.Log.StateChange("store takes no origins of streams; new ones begin where the plans alone tell it")
		},
	})
}

// logPlan logs a plan that comes in force.
func (b *RelayBox) logPlan(before, after *builds.Plan) {
	fields := []zap.Field{
		zap.String("service", after.Service), zap.String("region", after.Region), zap.Int64("plan", after.Number),
		zap.Any("shares", after.Shares), zap.Bool("by_id", after.ByID), zap.Int("earlier", len(after.Earlier)),
	}
	if before != nil {
		fields = append(fields, zap.Any("shares_before", before.Shares))
	}
	if after.UnplannedUntil > 0 {
		fields = append(fields, zap.Int64("unplanned_until_ms", after.UnplannedUntil))
	}
	b.recorder.Log.StateChange("build plan in force", fields...)
}

// logForeignOrigin logs an origin that another box has this box keep. Boxes of earlier releases log none themselves.
func (b *RelayBox) logForeignOrigin(o origins.Origin) {
	g := builds.Group{Service: o.Service, Region: b.settings.Load().Region}
	b.plans.LogForOthers(g, o, time.Now().Add(clock.Until(o.Expires)))
}

// applyCrashes reads the table that has the suspected crashes, and the plans of builds.
func (b *RelayBox) applyCrashes(rows map[string][]byte) {
	b.crashes.SetRows(rows)
	b.plans.SetRows(rows)
}
