package cli

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/policy"
)

type policyCmd struct {
	Check policyCheckCmd `cmd:"" help:"Check a program."`
	Test  policyTestCmd  `cmd:"" help:"Run the test cases of a program: those of NAME.star are in NAME_test.star."`
	Bench policyBenchCmd `cmd:"" help:"Benchmark a program's functions."`

	Get     policyGetCmd     `cmd:"" help:"Print a policy in force on the platform, or list which policy applies to which requests."`
	Apply   policyApplyCmd   `cmd:"" help:"Apply a program to some requests on the platform, if its test cases pass."`
	Remove  policyRemoveCmd  `cmd:"" help:"Remove a policy and its rule from the platform."`
	History configHistoryCmd `cmd:"" help:"List the accepted versions."`
}

type policyCheckCmd struct {
	File string `arg:"" help:"The program."`
}

func (c *policyCheckCmd) Run(a *app) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if err := policy.Check(&config.Policy{Name: c.File, Program: string(text)}); err != nil {
		return &exitError{exitProblems, err}
	}
	_, err = fmt.Fprintf(a.out, "%s: ok\n", c.File)
	return err
}

type policyTestCmd struct {
	File string `arg:"" help:"The program."`
}

func (c *policyTestCmd) Run(a *app) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	cases, err := os.ReadFile(strings.TrimSuffix(c.File, ".star") + "_test.star")
	if err != nil {
		return err
	}
	results, err := policy.RunCases(c.File, string(text), string(cases))
	if err != nil {
		return &exitError{exitProblems, err}
	}
	failed := 0
	for _, r := range results {
		verdict := "ok"
		if r.Failure != "" {
			verdict = r.Failure
			failed++
		}
		fmt.Fprintf(a.out, "%s: %s\n", r.Name, verdict)
	}
	if failed > 0 {
		return &exitError{exitProblems, fmt.Errorf("%d of %d cases failed", failed, len(results))}
	}
	return nil
}

type policyBenchCmd struct {
	File string `arg:"" help:"The program."`
	N    int    `help:"Number of calls of each function." default:"100000"`
}

func (c *policyBenchCmd) Run(a *app) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	p, err := policy.New(c.File, string(text))
	if err != nil {
		return &exitError{exitProblems, err}
	}
	if c.N < 1 {
		return &exitError{exitUsage, errors.New("--n: expected 1 or more")}
	}
	r := &decide.Request{Client: "lab", PromptTokens: 8000, MaxTokens: 100}
	start := time.Now()
	for range c.N {
		p.Admit(r, decide.View{Waiting: 3})
	}
	admit := time.Since(start) / time.Duration(c.N)
	start = time.Now()
	for range c.N {
		_, _ = p.Weigh(r, &decide.Candidate{Queue: time.Millisecond})
	}
	weigh := time.Since(start) / time.Duration(c.N)
	_, err = fmt.Fprintf(a.out, "admit: %d ns a call, once a request\nweigh: %d ns a call, at most 6 times a request\n", admit.Nanoseconds(), weigh.Nanoseconds())
	return err
}
