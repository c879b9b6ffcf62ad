// Command bench measures the router: the added latency and cost of a box, and
// the slopes that docs/CAPACITY.md is worked out from.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/stoatramp/stoatramp/internal/bench"
)

type cli struct {
	Site    bench.SiteCmd    `cmd:"" help:"Run stand-ins and write settings for a box before them."`
	Load    bench.LoadCmd    `cmd:"" help:"Load a box and the stand-ins directly, in turns, and compare."`
	Compare bench.CompareCmd `cmd:"" help:"Compare the decisions with baselines and a bound, in virtual time."`
	Drive   bench.DriveCmd   `cmd:"" help:"Load several boxes, check every answer, and say what became of the requests."`
	Slopes  bench.SlopesCmd  `cmd:"" help:"Measure the slopes of decisions, limits, settings and records."`
}

func main() {
	k := kong.Parse(&cli{}, kong.Name("bench"), kong.Description("Measures the stoatramp router."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
