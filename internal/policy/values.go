package policy

import (
	"fmt"
	"time"

	"go.starlark.net/starlark"

	"github.com/stoatramp/stoatramp/internal/decide"
)

// readOnly implements the methods that starlark.Value requires of a value that programs can only read.
type readOnly struct{}

func (readOnly) Freeze()               {}
func (readOnly) Truth() starlark.Bool  { return starlark.True }
func (readOnly) Hash() (uint32, error) { return 0, fmt.Errorf("unhashable") }

func secondsValue(d time.Duration) starlark.Value { return starlark.Float(d.Seconds()) }

// requestValue is a request as a program sees it.
type requestValue struct {
	readOnly
	r *decide.Request
}

var requestFields = []string{"came_back", "client", "expect_tokens", "first_token", "kind", "max_tokens", "priority", "prompt_tokens", "repeatable", "route", "service"}

func (v *requestValue) String() string      { return "request" }
func (v *requestValue) Type() string        { return "request" }
func (v *requestValue) AttrNames() []string { return requestFields }
func (v *requestValue) Attr(name string) (starlark.Value, error) {
	switch name {
	case "came_back":
		return starlark.Bool(v.r.CallerRetry), nil
	case "client":
		return starlark.String(v.r.Client), nil
	case "expect_tokens":
		return starlark.MakeInt(v.r.ExpectedTokens), nil
	case "first_token":
		return secondsValue(v.r.FirstToken), nil
	case "kind":
		return starlark.String(v.r.Kind), nil
	case "max_tokens":
		return starlark.MakeInt(v.r.MaxTokens), nil
	case "priority":
		return starlark.MakeInt(v.r.Rank), nil
	case "prompt_tokens":
		return starlark.MakeInt(v.r.PromptTokens), nil
	case "repeatable":
		return starlark.Bool(v.r.Repeatable), nil
	case "route":
		return starlark.String(v.r.Route), nil
	case "service":
		return starlark.String(v.r.Pool), nil
	}
	return nil, nil
}

// poolValue is a pool (a group of engines that serve one model) as a program sees it.
type poolValue struct {
	readOnly
	v decide.View
}

var poolFields = []string{"decode_free", "predicted", "prefill_queue", "waiting"}

func (v *poolValue) String() string      { return "pool" }
func (v *poolValue) Type() string        { return "pool" }
func (v *poolValue) AttrNames() []string { return poolFields }
func (v *poolValue) Attr(name string) (starlark.Value, error) {
	switch name {
	case "decode_free":
		return starlark.MakeInt(v.v.DecodeFreeKV), nil
	case "predicted":
		return secondsValue(v.v.PredictedTime), nil
	case "prefill_queue":
		return secondsValue(v.v.PrefillQueue), nil
	case "waiting":
		return starlark.MakeInt(v.v.Waiting), nil
	}
	return nil, nil
}

// pairValue is a pair of a prefill and a decode engine as a program sees it.
type pairValue struct {
	readOnly
	c *decide.Candidate
}

var pairFields = []string{"cached", "decode", "first", "free", "prefill", "queue", "read", "same_hall", "step", "transfer"}

func (v *pairValue) String() string      { return "pair" }
func (v *pairValue) Type() string        { return "pair" }
func (v *pairValue) AttrNames() []string { return pairFields }
func (v *pairValue) Attr(name string) (starlark.Value, error) {
	switch name {
	case "cached":
		return starlark.MakeInt(v.c.Cached), nil
	case "decode":
		return starlark.String(v.c.Decode), nil
	case "first":
		return secondsValue(v.c.FirstToken), nil
	case "free":
		return starlark.MakeInt(v.c.FreeKV), nil
	case "prefill":
		return starlark.String(v.c.Prefill), nil
	case "queue":
		return secondsValue(v.c.Queue), nil
	case "read":
		return secondsValue(v.c.PrefillTime), nil
	case "same_hall":
		return starlark.Bool(v.c.SameHall), nil
	case "step":
		return secondsValue(v.c.Step), nil
	case "transfer":
		return secondsValue(v.c.Transfer), nil
	}
	return nil, nil
}

// verdictKind is what a program's admit function decided about a request.
type verdictKind uint8

const (
	run verdictKind = iota
	wait
	refuse
)

var verdictNames = [...]string{"run", "wait", "refuse"}

// verdictValue is what run(), wait() and refuse() return to a program.
type verdictValue struct {
	readOnly
	kind verdictKind
	text string
}

func (v *verdictValue) String() string {
	if v.text == "" {
		return verdictNames[v.kind] + "()"
	}
	return fmt.Sprintf("%s(%q)", verdictNames[v.kind], v.text)
}
func (v *verdictValue) Type() string { return "verdict" }

// predeclared contains the names that every program can use in addition to those of Starlark.
var predeclared = starlark.StringDict{
	"run":    verdictBuiltin(run),
	"wait":   verdictBuiltin(wait),
	"refuse": verdictBuiltin(refuse),
}

func verdictBuiltin(kind verdictKind) *starlark.Builtin {
	name := verdictNames[kind]
	withoutText := &verdictValue{kind: kind}
	return starlark.NewBuiltin(name, func(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
		if len(args)+len(kwargs) == 0 {
			return withoutText, nil
		}
		v := &verdictValue{kind: kind}
		err := starlark.UnpackArgs(name, args, kwargs, "text?", &v.text)
		return v, err
	})
}
