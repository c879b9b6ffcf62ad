// Package policy compiles and runs operators' routing programs. A policy is a
// short Starlark program with up to two functions:
//
//	def admit(request, pool):     # run(), wait() or refuse("why")
//	def weigh(request, pair):     # seconds to add to the cost of a pair
//
// A program has no access to the outside, cannot loop forever, and sees only engines that the guarantees to
// callers permit. If it fails, the built-in rules decide.
package policy

import (
	"errors"
	"fmt"
	"math"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/decide"
)

const (
	// maxSteps bounds one call of a program; a typical one takes under 100.
	maxSteps = 10000
	// maxWeight bounds what a program can add to a cost, in seconds.
	maxWeight = 10
)

// options restricts the language to functions and conditionals, without recursion and while loops.
var options = &syntax.FileOptions{TopLevelControl: false}

// Program is a compiled policy. It is not safe for concurrent use: the decision
// core, which calls it, is single-threaded.
type Program struct {
	thread *starlark.Thread
	admit  starlark.Callable
	weigh  starlark.Callable

	// The arguments are reused between calls to avoid allocations.
	req  requestValue
	pool poolValue
	pair pairValue
}

var _ decide.Policy = (*Program)(nil)

// New compiles a program.
func New(name, text string) (*Program, error) {
	globals, err := load(name, text, predeclared)
	if err != nil {
		return nil, err
	}
	p := &Program{thread: &starlark.Thread{Name: name}}
	if p.admit, err = globalFunction(globals, "admit"); err != nil {
		return nil, err
	}
	if p.weigh, err = globalFunction(globals, "weigh"); err != nil {
		return nil, err
	}
	if p.admit == nil && p.weigh == nil {
		return nil, errors.New("expected a function admit(request, pool) or weigh(request, pair)")
	}
	return p, nil
}

func load(name, text string, env starlark.StringDict) (starlark.StringDict, error) {
	thread := &starlark.Thread{Name: name}
	thread.SetMaxExecutionSteps(maxSteps)
	globals, err := starlark.ExecFileOptions(options, thread, name, text, env)
	return globals, withPosition(err)
}

// withPosition adds the source position to an error of a running program.
func withPosition(err error) error {
	var eval *starlark.EvalError
	if errors.As(err, &eval) && len(eval.CallStack) > 0 {
		return fmt.Errorf("%s: %s", eval.CallStack.At(0).Pos, eval.Msg)
	}
	return err
}

// globalFunction returns the global function of that name, which must take two arguments; nil if there is none.
func globalFunction(globals starlark.StringDict, name string) (starlark.Callable, error) {
	v, ok := globals[name]
	if !ok {
		return nil, nil
	}
	f, ok := v.(*starlark.Function)
	if !ok {
		return nil, fmt.Errorf("%s: expected a function, found %s", name, v.Type())
	}
	if f.NumParams() != 2 || f.HasVarargs() || f.HasKwargs() {
		return nil, fmt.Errorf("%s: %s takes %d parameters, expected 2", f.Position(), name, f.NumParams())
	}
	return f, nil
}

func (p *Program) call(f starlark.Callable, args ...starlark.Value) (starlark.Value, error) {
	p.thread.SetMaxExecutionSteps(p.thread.Steps + maxSteps)
	p.thread.Uncancel()
	v, err := starlark.Call(p.thread, f, args, nil)
	return v, withPosition(err)
}

// Admit calls the program's admit function for an arriving request.
func (p *Program) Admit(r *decide.Request, v decide.View) decide.Verdict {
	if p.admit == nil {
		return decide.Verdict{}
	}
	p.req.r, p.pool.v = r, v
	got, err := p.call(p.admit, &p.req, &p.pool)
	if err != nil {
		return decide.Verdict{Fault: err.Error()}
	}
	verdict, ok := got.(*verdictValue)
	if !ok {
		return decide.Verdict{Fault: fmt.Sprintf("admit returned %s, expected run(), wait() or refuse(text)", got.Type())}
	}
	return decide.Verdict{Refuse: verdict.kind == refuse, Wait: verdict.kind == wait, Text: verdict.text}
}

// Weigh calls the program's weigh function for a candidate pair.
func (p *Program) Weigh(r *decide.Request, c *decide.Candidate) (float64, error) {
	if p.weigh == nil {
		return 0, nil
	}
	p.req.r, p.pair.c = r, c
	got, err := p.call(p.weigh, &p.req, &p.pair)
	if err != nil {
		return 0, err
	}
	n, ok := starlark.AsFloat(got)
	if !ok || math.IsNaN(n) {
		return 0, fmt.Errorf("weigh returned %s, expected a number of seconds", got)
	}
	return max(-maxWeight, min(maxWeight, n)), nil
}

// Set holds the compiled policies of one configuration.
type Set struct{ byName map[string]*Program }

// Policy returns the program of that name; nil if there is none.
func (s *Set) Policy(name string) decide.Policy {
	if p, ok := s.byName[name]; ok {
		return p
	}
	return nil
}

// Compile compiles the programs of a configuration.
func Compile(list []*config.Policy) (*Set, error) {
	s := &Set{byName: map[string]*Program{}}
	for _, c := range list {
		p, err := New(c.Name, c.Program)
		if err != nil {
			return nil, fmt.Errorf("policy %s: %w", c.Name, err)
		}
		s.byName[c.Name] = p
	}
	return s, nil
}

// RuleSet is the compiled policies of boxes on a platform, and the rules that select them.
type RuleSet struct {
	set   *Set
	rules []*config.Rule
}

// CompileRules compiles the programs of a configuration.
func CompileRules(c *config.Rules) (*RuleSet, error) {
	set, err := Compile(c.Policies)
	if err != nil {
		return nil, err
	}
	return &RuleSet{set, c.Rules}, nil
}

// For returns the policy and the name of the first rule that matches; nil if none does.
func (s *RuleSet) For(kind, service string, priority int) (decide.Policy, string) {
	for _, r := range s.rules {
		if r.Matches(kind, service, priority) {
			return s.set.Policy(r.Policy), r.Name
		}
	}
	return nil, ""
}

// Check compiles a program and runs the operator's own test cases.
func Check(c *config.Policy) error {
	if _, err := New(c.Name, c.Program); err != nil {
		return err
	}
	results, err := RunCases(c.Name, c.Program, c.Cases)
	if err != nil {
		return err
	}
	var failed []error
	for _, r := range results {
		if r.Failure != "" {
			failed = append(failed, fmt.Errorf("case %q: %s", r.Name, r.Failure))
		}
	}
	return errors.Join(failed...)
}
