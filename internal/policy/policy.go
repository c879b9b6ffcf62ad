// Package policy compiles and runs the routing programs of operators, which are called policies. A policy is a
// short Starlark program with up to two functions:
//
//	def admit(request, pool):     # run(), wait() or refuse("why")
//	def weigh(request, pair):     # seconds to add to the cost of a pair
//
// A pair is a prefill engine and a decode engine that could serve a request. A policy has no access to the outside and
// cannot loop forever. It sees only engines that the guarantees to callers permit. If a policy fails, the built-in
// rules decide.
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
	// maxSteps bounds the Starlark steps of one call of a program. A typical call needs under 100 steps.
	maxSteps = 10000
	// maxWeight is in seconds. A program can add at most this to the cost of a pair of engines, or subtract it.
	maxWeight = 10
)

// options restricts the language to functions and conditionals, without recursion and while loops.
var options = &syntax.FileOptions{TopLevelControl: false}

// Program is a compiled policy. It is not safe for concurrent use. The decision core, which calls it, uses only one
// goroutine.
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

// withPosition adds the position in the source text to an error of a running program.
func withPosition(err error) error {
	var eval *starlark.EvalError
	if errors.As(err, &eval) && len(eval.CallStack) > 0 {
		return fmt.Errorf("%s: %s", eval.CallStack.At(0).Pos, eval.Msg)
	}
	return err
}

// globalFunction returns the program's global function with the given name. The function must have two parameters. If
// there is no such function, globalFunction returns nil.
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

// Admit calls the program's admit function, which decides whether an arriving request runs, waits or is refused.
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

// Weigh calls the program's weigh function for a pair of engines. It returns the seconds to add to the pair's cost.
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

// Set holds the compiled policies of one configuration, by name.
type Set struct{ byName map[string]*Program }

// Policy returns the compiled policy with the given name, or nil if there is none.
func (s *Set) Policy(name string) decide.Policy {
	if p, ok := s.byName[name]; ok {
		return p
	}
	return nil
}

// Compile compiles the policies of a configuration.
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

// RuleSet holds the compiled policies and the rules of a relay box. A rule says which requests a policy applies to.
type RuleSet struct {
	set   *Set
	rules []*config.Rule
}

// CompileRules compiles the policies of a configuration, and keeps its rules.
func CompileRules(c *config.Rules) (*RuleSet, error) {
	set, err := Compile(c.Policies)
	if err != nil {
		return nil, err
	}
	return &RuleSet{set, c.Rules}, nil
}

// For returns the policy of the first rule that matches a request, and the name of that rule. It returns nil if no rule
// matches the request.
func (s *RuleSet) For(kind, service string, priority int) (decide.Policy, string) {
	for _, r := range s.rules {
		if r.Matches(kind, service, priority) {
			return s.set.Policy(r.Policy), r.Name
		}
	}
	return nil, ""
}

// Check compiles a policy and runs the test cases that the operator wrote for it.
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
