// Command bench measures the router: the latency and the cost that a box (a machine that runs the router) adds, and the
// costs per unit, such as per engine, from which docs/CAPACITY.md is computed ("slopes").
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/stoatramp/stoatramp/internal/bench"
)

type cli struct {
	Site    bench.SiteCmd    `cmd:"" help:"Run stand-ins and write the settings of a box that uses them."`
	Load    bench.LoadCmd    `cmd:"" help:"Send load to a box and directly to the stand-ins, in alternating rounds, and compare."`
	Compare bench.CompareCmd `cmd:"" help:"Compare the routing decisions with baselines and an upper bound, in virtual time."`
	Drive   bench.DriveCmd   `cmd:"" help:"Send load to several boxes, check every answer, and count the outcomes."`
	Slopes  bench.SlopesCmd  `cmd:"" help:"Measure the cost per unit of decisions, limits, settings and records."`
}

func main() {
	k := kong.Parse(&cli{}, kong.Name("bench"), kong.Description("Measures the stoatramp router."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
