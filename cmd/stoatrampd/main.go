// Command stoatrampd is one box of the router.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/box"
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/telemetry"
	"github.com/stoatramp/stoatramp/platform"
)

type commands struct {
	Run   runCmd   `cmd:"" help:"Run a box with the settings of a file."`
	Check checkCmd `cmd:"" help:"Check a settings file, of either kind of box, and change nothing."`
	Relay relayCmd `cmd:"" help:"Run a box on the platform, with the settings of a file."`
	Demo  demoCmd  `cmd:"" help:"Run a box before stand-ins in the same process, on loopback."`
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
	b, err := box.New(cfg, startLog())
	if err == nil {
		out.Register(b.Metrics.Set)
	}
	return b, err
}

// out takes the log lines of the process. Whoever logs never waits for standard output.
var out = telemetry.NewAsync(os.Stdout)

func startLog() *zap.Logger {
	log := telemetry.NewLogger(out)
	box.UseLog(log)
	return log
}

type relayCmd struct {
	File string `arg:"" env:"STOATRAMP_BOOT" help:"The box's INI settings."`
}

func (c *relayCmd) Run() error {
	cfg, err := config.LoadRelay(c.File)
	if err != nil {
		return err
	}
	limitMemory(cfg.MemoryMB)
	b, err := newRelay(cfg, startLog())
	if err != nil {
		return err
	}
	b.Reload = func() (*config.Relay, error) { return config.LoadRelay(c.File) }
	return b.Run()
}

// heapPart is the part of a process's memory up to which the runtime collects garbage when it
// likes, and beyond which it does so at once. The rest is for what it does not count: the
// sockets' buffers and the C library.
const heapPart = 0.75

// garbagePercent is how much garbage there may be beside what is in use before it is collected, in percent
// of that. Boxes before 10,000 endpoints keep some 10 MB each and are idle most of the time: the
// runtime's usual 100 would have as much garbage again wait for a collection, in each of 986 processes.
const garbagePercent = 50

// limitMemory has the runtime keep within so many megabytes; 0 if there is no bound. On a day of
// 301 boxes before 3,000 endpoints two boxes of 134 MB were ended for taking more.
func limitMemory(mb float64) {
	runtime.MemProfileRate = 0 // Nothing reads the profile, which took 0.8 MB of a process (16.3 to 15.5, one run).
	debug.SetGCPercent(garbagePercent)
	if mb > 0 {
		debug.SetMemoryLimit(int64(heapPart * mb * (1 << 20)))
	}
}

// newRelay puts a box on the platform.
func newRelay(cfg *config.Relay, log *zap.Logger) (*box.RelayBox, error) {
	store := platform.NewStore(cfg.Store)
	b, err := box.NewRelay(cfg, box.Site{
		Wire:      platform.Wire{},
		Operator:  store.Operator(),
		Endpoints: store.Workers(),
		Leases:    store.Leases(),
		Learned:   store.Learned(),
		Members:   store.Members(),
		Register:  store.Register(),
		Objects:   store.Objects(),

		Shared:        store.Shared(),
		SharedChanges: store.SharedChanges(),
		Versioned:     platform.Versioned,

		Ends:        store.Ends(),
		EndsChanges: store.EndsChanges(),

		WatchEras: store.WatchEras,

		Config:    platform.Config,
		Evacuated: platform.Evacuated,
		Endpoint:  platform.Endpoint,
		ReadyPath: platform.ReadyPath,
	}, log, out.Busy)
	if err == nil {
		out.Register(b.Metrics.Set)
	}
	return b, err
}

type checkCmd struct {
	File  string `arg:"" help:"The box's INI settings."`
	Relay bool   `help:"The settings are those of a box on the platform."`
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
	_ = out.Sync()
	if err != nil {
		fmt.Fprintln(os.Stderr, "stoatrampd:", err)
		os.Exit(1)
	}
}
