//go:build review

// Package standins has the stand-ins of the review's cases: the platform's store, workers, clients, and the scripts that
// start the project's programs before them. The files are test files behind a build tag, so that they stay out of the
// default test run. review/build.sh builds them into one program.
package standins

import (
	"fmt"
	"os"
	"testing"
)

// cases are the scripts by their names.
var cases = map[string]func(*world) bool{}

func TestMain(*testing.M) {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standins store ADDRESS | worker OPTIONS | CASE FOLDER")
		os.Exit(2)
	}
	switch mode := os.Args[1]; mode {
	case "store":
		runStore(os.Args[2])
	case "worker":
		runWorker(os.Args[2])
	default:
		script, ok := cases[mode]
		if !ok || len(os.Args) < 3 {
			fmt.Fprintln(os.Stderr, "unknown case", mode)
			os.Exit(2)
		}
		os.Exit(runCase(os.Args[2], script))
	}
}
