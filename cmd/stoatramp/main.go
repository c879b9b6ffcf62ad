// Command stoatramp is the operators' command-line tool. It connects to any box, that is, any machine that runs the
// router.
package main

import (
	"os"

	"github.com/stoatramp/stoatramp/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
