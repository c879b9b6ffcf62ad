package policy

import (
	"errors"
	"fmt"
	"time"

	"go.starlark.net/starlark"

	"github.com/stoatramp/stoatramp/internal/decide"
)

// CaseResult is the result of one expectation in the test cases of a policy.
type CaseResult struct {
	Name    string
	Failure string // Why the expectation failed; empty if it was met.
}

// RunCases runs the test cases that an operator wrote for a policy. The cases are a Starlark program that can call the
// functions of the policy and these functions:
//
//	request(prompt_tokens = 8000, client = "lab")   # fields not given have usual values
//	pool(waiting = 12), pair(queue = 0.1)
//	expect("name", got, want)                        # equal
//	expect_less("name", a, b)                        # a < b
func RunCases(name, program, cases string) ([]CaseResult, error) {
	if cases == "" {
		return nil, nil
	}
	globals, err := load(name, program, predeclared)
	if err != nil {
		return nil, err
	}
	env := starlark.StringDict{
		"request": starlark.NewBuiltin("request", makeRequest),
		"pool":    starlark.NewBuiltin("pool", makePool),
		"pair":    starlark.NewBuiltin("pair", makePair),
	}
	for k, v := range predeclared {
		env[k] = v
	}
	for k, v := range globals {
		env[k] = v
	}
	var results []CaseResult
	env["expect"] = starlark.NewBuiltin("expect", expecter(&results, expectEqual))
	env["expect_less"] = starlark.NewBuiltin("expect_less", expecter(&results, expectLess))
	if _, err := load(name+" cases", cases, env); err != nil {
		return results, err
	}
	if len(results) == 0 {
		return nil, errors.New("the cases expect nothing")
	}
	return results, nil
}

type builtin = func(*starlark.Thread, *starlark.Builtin, starlark.Tuple, []starlark.Tuple) (starlark.Value, error)

func expecter(results *[]CaseResult, compare func(a, b starlark.Value) (string, error)) builtin {
	return func(_ *starlark.Thread, b *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
		var name string
		var got, want starlark.Value
		if err := starlark.UnpackArgs(b.Name(), args, kwargs, "name", &name, "got", &got, "want", &want); err != nil {
			return nil, err
		}
		failure, err := compare(got, want)
		*results = append(*results, CaseResult{name, failure})
		return starlark.None, err
	}
}

// expectEqual compares two values. A verdict is a result of run, wait or refuse. Verdicts are compared by their kind.
// If want has a text, they are also compared by their text.
func expectEqual(got, want starlark.Value) (string, error) {
	g, okG := got.(*verdictValue)
	w, okW := want.(*verdictValue)
	if okG && okW {
		if g.kind != w.kind || w.text != "" && g.text != w.text {
			return fmt.Sprintf("got %s, wanted %s", got, want), nil
		}
		return "", nil
	}
	equal, err := starlark.Equal(got, want)
	if err != nil || equal {
		return "", err
	}
	return fmt.Sprintf("got %s, wanted %s", got, want), nil
}

func expectLess(a, b starlark.Value) (string, error) {
	x, okX := starlark.AsFloat(a)
	y, okY := starlark.AsFloat(b)
	if !okX || !okY {
		return "", fmt.Errorf("expect_less takes numbers, found %s and %s", a.Type(), b.Type())
	}
	if x < y {
		return "", nil
	}
	return fmt.Sprintf("%s is not less than %s", a, b), nil
}

// secondsArg is an argument that gives a duration in seconds.
type secondsArg struct{ d *time.Duration }

func (s secondsArg) Unpack(v starlark.Value) error {
	f, ok := starlark.AsFloat(v)
	if !ok {
		return fmt.Errorf("expected a number of seconds, found %s", v.Type())
	}
	*s.d = time.Duration(f * float64(time.Second))
	return nil
}

func makeRequest(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	r := &decide.Request{Client: "lab", Kind: "stream", Pool: "service", Route: "route", PromptTokens: 1000, MaxTokens: 100, FirstToken: 430 * time.Millisecond, Repeatable: true}
	err := starlark.UnpackArgs("request", args, kwargs, "prompt_tokens?", &r.PromptTokens, "max_tokens?", &r.MaxTokens,
		"client?", &r.Client, "route?", &r.Route, "first_token?", secondsArg{&r.FirstToken}, "repeatable?", &r.Repeatable,
		"kind?", &r.Kind, "priority?", &r.Rank, "service?", &r.Pool, "expect_tokens?", &r.ExpectedTokens, "came_back?", &r.CallerRetry)
	return &requestValue{r: r}, err
}

func makePool(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	v := decide.View{DecodeFreeKV: 100000, PredictedTime: 100 * time.Millisecond}
	err := starlark.UnpackArgs("pool", args, kwargs, "waiting?", &v.Waiting, "prefill_queue?", secondsArg{&v.PrefillQueue},
		"decode_free?", &v.DecodeFreeKV, "predicted?", secondsArg{&v.PredictedTime})
	return &poolValue{v: v}, err
}

func makePair(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	c := &decide.Candidate{Prefill: "p1", Decode: "d1", SameHall: true, FreeKV: 100000}
	err := starlark.UnpackArgs("pair", args, kwargs, "prefill?", &c.Prefill, "decode?", &c.Decode, "same_hall?", &c.SameHall,
		"cached?", &c.Cached, "queue?", secondsArg{&c.Queue}, "read?", secondsArg{&c.PrefillTime}, "transfer?", secondsArg{&c.Transfer},
		"first?", secondsArg{&c.FirstToken}, "step?", secondsArg{&c.Step}, "free?", &c.FreeKV)
	return &pairValue{c: c}, err
}
