package config

import (
	"strings"
	"testing"
)

const rulesText = `# who and what
[policy late]
program = """
[rule inside a program is no section]
def admit(request, pool):
    return run()
"""

[rule logs]
policy = late
kind = stream
priority = 1

[operator ana]
key_sha256 = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
`

func expectRules(t *testing.T, text, problem string) *Rules {
	t.Helper()
	c, err := ParseRules("f", []byte(text), nil)
	switch {
	case problem == "" && err != nil:
		t.Errorf("expected no problem, got %v", err)
	case problem != "" && (err == nil || !strings.Contains(err.Error(), problem)):
		t.Errorf("expected %q, got %v", problem, err)
	}
	return c
}

func TestRules(t *testing.T) {
	c := expectRules(t, rulesText, "")
	if c.OperatorByKey("test").Name != "ana" || c.OperatorByKey("") != nil {
		t.Error("expected the key to be ana's alone")
	}
}

func TestRulesNoPolicy(t *testing.T) {
	expectRules(t, "[rule r]\npolicy = p\n", "f:2: [rule r] policy: no section [policy p]")
}

func TestRulesKind(t *testing.T) {
	expectRules(t, "[policy p]\nprogram = x\n[rule r]\npolicy = p\nkind = streams\n", `f:5: [rule r] kind: expected once, repeatable, stream, found "streams"`)
}

func TestRulesSection(t *testing.T) {
	expectRules(t, "[route r]\nmodel = m\n", "routes and endpoints are the platform's")
}

func TestRulesUnnamed(t *testing.T) { expectRules(t, "[rule]\npolicy = p\n", "expected a name") }

func TestRulesKeyTwice(t *testing.T) {
	key := "key_sha256 = " + KeyDigest("k") + "\n"
	expectRules(t, "[operator a]\n"+key+"[operator b]\n"+key, "is also the key of operator a")
}

func TestRuleFits(t *testing.T) {
	for _, c := range []struct {
		rule     Rule
		kind     string
		service  string
		priority int
		want     bool
	}{
		{Rule{Priority: AnyPriority}, "once", "s", 3, true},
		{Rule{Priority: 0}, "once", "s", 3, false},
		{Rule{Kind: "stream", Priority: AnyPriority}, "once", "s", 3, false},
		{Rule{Kind: "stream", Service: "s", Priority: 3}, "stream", "s", 3, true},
		{Rule{Service: "s", Priority: AnyPriority}, "stream", "other", 3, false},
	} {
		if got := c.rule.Matches(c.kind, c.service, c.priority); got != c.want {
			t.Errorf("%+v: expected %t, got %t", c, c.want, got)
		}
	}
}

// SetSection must keep the position of the section that it replaces, and leave the other text unchanged.
func TestSetSection(t *testing.T) {
	got := SetSection(rulesText, "rule logs", "policy = late\n")
	want := strings.Replace(rulesText, "policy = late\nkind = stream\npriority = 1\n\n", "policy = late\n", 1)
	if got != want {
		t.Errorf("expected\n%s\ngot\n%s", want, got)
	}
	if got := SetSection("", "rule a", "policy = b"); got != "[rule a]\npolicy = b\n" {
		t.Errorf("got %q", got)
	}
	added := SetSection(rulesText, "rule a", "policy = late")
	if added != rulesText+"[rule a]\npolicy = late\n" {
		t.Errorf("expected the section at the end, got\n%s", added)
	}
	back, ok := RemoveSection(added, "rule a")
	if !ok || back != rulesText {
		t.Errorf("expected the text as it was, got\n%s", back)
	}
	if _, ok := RemoveSection(rulesText, "rule inside a program is no section"); ok {
		t.Error("expected a program's text to hold no sections")
	}
}

// A comment directly above a section belongs to that section. Removing or replacing the section before must keep it.
func TestCommentOfNextSection(t *testing.T) {
	const text = `# who and what
[rule a]
policy = p
# on a's key

# b is for the night shift
; and for tests
[rule b]
policy = p
`
	const rest = "# b is for the night shift\n; and for tests\n[rule b]\npolicy = p\n"
	const head = "# who and what\n"
	for _, tt := range []struct{ name, text, want string }{
		{"comment of the next section", text, head + rest},
		{"no blank line above the comment", "[rule a]\npolicy = p\n" + rest, rest},
		{"no comment", "[rule a]\npolicy = p\n\n[rule b]\n", "[rule b]\n"},
		{"last section", "[rule b]\n[rule a]\npolicy = p\n# end\n", "[rule b]\n"},
		{"comment inside a program", "[rule a]\nprogram = \"\"\"\nx\n# y\n\"\"\"\n[rule b]\n", "[rule b]\n"},
	} {
		if got, ok := RemoveSection(tt.text, "rule a"); !ok || got != tt.want {
			t.Errorf("%s: expected %q, got %q", tt.name, tt.want, got)
		}
	}
	set := SetSection("[rule a]\npolicy = p\n\n"+rest, "rule a", "policy = q")
	if want := "[rule a]\npolicy = q\n" + rest; set != want {
		t.Errorf("expected %q, got %q", want, set)
	}
}

// Guards against weights that are lost, and against a bad value whose message does not say what is expected.
func TestRulesWeights(t *testing.T) {
	c := expectRules(t, rulesText+"\n[client bakery]\nweight = 2.5\n[client lab]\n", "")
	if c.Weights["bakery"] != 2.5 || c.Weights["lab"] != 1 || len(c.Weights) != 2 {
		t.Errorf("expected 2.5 for bakery and 1 for lab, got %v", c.Weights)
	}
	for _, bad := range []string{"0", "0.009", "1001", "-1", "NaN", "heavy", ""} {
		expectRules(t, "[client lab]\nweight = "+bad+"\n", `f:2: [client lab] weight: expected a number from 0.01 to 1000, found "`+bad+`"`)
	}
	expectRules(t, "[client lab]\nwieght = 2\n", "wieght: is not a known key of [client]")
}
