// Command stoatrampd runs one box, that is, the router on one machine.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/box"
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/telemetry"
	"github.com/stoatramp/stoatramp/platform"
)

type commands struct {
	Run   runCmd   `cmd:"" help:"Run a box with the settings in a file."`
	Check checkCmd `cmd:"" help:"Check a settings file of either kind of box, without running it."`
	Relay relayCmd `cmd:"" help:"Run a box on the platform with the settings in a file."`
	Demo  demoCmd  `cmd:"" help:"Run a box with stand-in back ends in the same process, on loopback."`
}

type runCmd struct {
	File string `arg:"" help:"The box's INI settings."`
}

func (c *runCmd) Run() error {
	cfg, err := config.LoadBox(c.File)
	if err != nil {
		return err
	}
	b, err := newBox(cfg)
	if err != nil {
		return err
	}
	return b.Run()
}

func newBox(cfg *config.Box) (*box.Box, error) {
	b, err := box.New(cfg, newLogger())
	if err == nil {
		logOutput.Register(b.Metrics.Set)
	}
	return b, err
}

// logOutput writes the process's log lines asynchronously, so that logging never waits for standard output.
var logOutput = telemetry.NewAsync(os.Stdout)

func newLogger() *zap.Logger {
	log := telemetry.NewLogger(logOutput)
	box.UseLog(log)
	return log
}

type relayCmd struct {
	File string `arg:"" env:"STOATRAMP_BOOT" help:"The box's INI settings."`
	// LinkMbps is a text, because a platform that does not know the link sets the variable to an empty one.
	LinkMbps string `env:"STOATRAMP_LINK_MBPS" help:"The bandwidth of the box's link in Mbit/s, if the settings do not give it."`
}

// load reads the settings.
func (c *relayCmd) load() (*config.Relay, error) {
	cfg, err := config.LoadRelay(c.File)
	if err != nil || cfg.LinkMbps != 0 || c.LinkMbps == "" {
		return cfg, err
	}
	if cfg.LinkMbps, err = strconv.ParseFloat(c.LinkMbps, 64); err != nil || !(cfg.LinkMbps >= 0 && cfg.LinkMbps <= config.MaxLinkMbps) {
		return nil, fmt.Errorf("the link's bandwidth (--link-mbps or STOATRAMP_LINK_MBPS) must be a number of Mbit/s, not %q", c.LinkMbps)
	}
	return cfg, nil
}

func (c *relayCmd) Run() error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	limitMemory(cfg.MemoryMB)
	b, err := newRelay(cfg, newLogger())
	if err != nil {
		return err
	}
	b.Reload = c.load
	return b.Run()
}

// heapFraction is the share of the process's memory limit that is set as the soft memory limit of the Go runtime. Near
// that limit the runtime collects garbage more eagerly. The other quarter is for memory that the runtime does not
// count: socket buffers and the C library.
const heapFraction = 0.75

// gcPercent is the garbage collection target (GOGC), in percent of the live heap. A box in front of 10,000 endpoints
// keeps some 10 MB and is idle most of the time. With the default of 100, each of 986 such processes would also keep
// some 10 MB of garbage.
const gcPercent = 50

// limitMemory makes the process keep within mb megabytes. If mb is 0, there is no limit. Without this function, 2 of
// 301 boxes in front of 3,000 endpoints exceeded their limit of 134 MB and were killed.
func limitMemory(mb float64) {
	// Nothing reads the memory profile. The process takes 16.3 MB with sampling for it, and 15.5 MB without.
	runtime.MemProfileRate = 0
	debug.SetGCPercent(gcPercent)
	if mb > 0 {
		debug.SetMemoryLimit(int64(heapFraction * mb * (1 << 20)))
	}
}

// newRelay returns a RelayBox, which is the router that runs on this machine. It reads its configuration and its list
// of endpoints from the platform's store.
func newRelay(cfg *config.Relay, log *zap.Logger) (*box.RelayBox, error) {
	store := platform.NewStore(cfg.Store)
	b, err := box.NewRelay(cfg, box.Site{
		Protocol:    platform.Protocol{},
		Operator:    store.Operator(),
		Endpoints:   store.Workers(),
		Leases:      store.Leases(),
		Learned:     store.Learned(),
		Members:     store.Members(),
		MemberTable: store.MemberTable(),
		Objects:     store.Objects(),

		Shared:         store.Shared(),
		SharedChanges:  store.SharedChanges(),
		ParseVersioned: platform.DecodeSharedRow,

		SuspectedCrashes:      store.SuspectedCrashes(),
		SuspectedCrashChanges: store.SuspectedCrashChanges(),

		BuildPlans: store.BuildPlans(),
		OriginLog:  store.OriginLog(),

		WatchEras:      store.WatchEras,
		WatchMalformed: store.WatchMalformed,

		ParseConfig:    platform.NewConfigParser(),
		EvacuatedHalls: platform.EvacuatedZones,
		ParseEndpoint:  platform.Endpoint,
		ReadyPath:      platform.ReadyPath,
	}, log, logOutput.Busy)
	if err == nil {
		logOutput.Register(b.Metrics.Set)
	}
	return b, err
}

type checkCmd struct {
	File  string `arg:"" help:"The box's INI settings."`
	Relay bool   `help:"The settings are for a box on the platform."`
}

func (c *checkCmd) Run() error {
	load := func() error { _, err := config.LoadBox(c.File); return err }
	if c.Relay {
		load = func() error { _, err := config.LoadRelay(c.File); return err }
	}
	if err := load(); err != nil {
		return err
	}
	fmt.Printf("%s: ok\n", c.File)
	return nil
}

func main() {
	k := kong.Parse(&commands{}, kong.Name("stoatrampd"), kong.Description("One box of the stoatramp router."))
	err := k.Run()
	_ = logOutput.Sync()
	if err != nil {
		fmt.Fprintln(os.Stderr, "stoatrampd:", err)
		os.Exit(1)
	}
}
