package policy

import (
	"strings"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/decide"
)

const example = `
def admit(request, pool):
    if request.prompt_tokens > 8000 and pool.waiting > 10:
        return refuse("long logs wait for a quieter time")
    if request.client == "payroll":
        return wait()
    return run()

def weigh(request, pair):
    return 0.002 * pair.queue
`

func expectVerdict(t *testing.T, r decide.Request, v decide.View, want decide.Verdict) {
	t.Helper()
	p, err := New("example", example)
	if err != nil {
		t.Fatal(err)
	}
	if got := p.Admit(&r, v); got != want {
		t.Errorf("expected %+v, got %+v", want, got)
	}
}

func TestAdmit(t *testing.T) {
	expectVerdict(t, decide.Request{PromptTokens: 10}, decide.View{}, decide.Verdict{})
	expectVerdict(t, decide.Request{PromptTokens: 9000}, decide.View{}, decide.Verdict{})
	expectVerdict(t, decide.Request{PromptTokens: 9000}, decide.View{Waiting: 11}, decide.Verdict{Refuse: true, Text: "long logs wait for a quieter time"})
	expectVerdict(t, decide.Request{Client: "payroll"}, decide.View{}, decide.Verdict{Wait: true})
}

func TestWeigh(t *testing.T) {
	p, err := New("example", example)
	if err != nil {
		t.Fatal(err)
	}
	got, err := p.Weigh(&decide.Request{}, &decide.Candidate{Queue: 500 * time.Millisecond})
	if err != nil || got != 0.001 {
		t.Errorf("expected 0.001, got %v, %v", got, err)
	}
}

func expectCheckError(t *testing.T, program, cases, want string) {
	t.Helper()
	err := Check(&config.Policy{Name: "p", Program: program, Cases: cases})
	if err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("expected an error containing %q, got %v", want, err)
	}
}

func TestCheck(t *testing.T) {
	if err := Check(&config.Policy{Name: "p", Program: example, Cases: `
expect("short", admit(request(prompt_tokens = 10), pool(waiting = 99)), run())
expect("long", admit(request(prompt_tokens = 9000), pool(waiting = 99)), refuse())
expect_less("queue costs", weigh(request(), pair(queue = 0.1)), weigh(request(), pair(queue = 0.2)))
`}); err != nil {
		t.Errorf("expected the example to pass, got %v", err)
	}
	expectCheckError(t, "x = 1", "", "expected a function")
	expectCheckError(t, "def admit(request): return run()", "", "takes 1 parameters, expected 2")
	expectCheckError(t, "def admit(request, pool)\n  return run()", "", "p:2:1")
	expectCheckError(t, "def admit(request, pool): return nothing()", "", "undefined: nothing")
	expectCheckError(t, "while True: pass", "", "")
	expectCheckError(t, example, `expect("wrong", admit(request(), pool()), refuse())`, `case "wrong": got run(), wanted refuse()`)
	expectCheckError(t, example, `x = 1`, "expect nothing")
	expectCheckError(t, example, `expect("typo", admit(request(promt_tokens = 1), pool()), run())`, "promt_tokens")
}

// A program may fail, run too long or return a wrong value. The result then says so and decides nothing, so that the
// built-in rules apply.
func TestFaults(t *testing.T) {
	for _, program := range []string{
		"def admit(request, pool): return 1 // 0",
		"def admit(request, pool): return 'run'",
		"def admit(request, pool):\n  n = 0\n  for i in range(10000000):\n    n += 1\n  return run()",
		"def admit(request, pool): return request.nothing",
	} {
		p, err := New("p", program)
		if err != nil {
			t.Fatal(err)
		}
		for range 2 { // Two calls, because a fault must not affect later calls.
			if v := p.Admit(&decide.Request{}, decide.View{}); v.Fault == "" || v.Refuse || v.Wait {
				t.Errorf("%q: expected a fault, got %+v", program, v)
			}
		}
	}
	p, err := New("p", "def weigh(request, pair): return float('nan')")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Weigh(&decide.Request{}, &decide.Candidate{}); err == nil {
		t.Error("expected NaN to be a fault")
	}
}

func BenchmarkAdmit(b *testing.B) {
	p, err := New("example", example)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		p.Admit(&decide.Request{PromptTokens: 9000}, decide.View{Waiting: 11})
	}
}

func BenchmarkWeigh(b *testing.B) {
	p, err := New("example", example)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = p.Weigh(&decide.Request{}, &decide.Candidate{Queue: time.Second})
	}
}
