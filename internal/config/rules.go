package config

import (
	"fmt"
	"strings"
)

// Rules is the shared configuration of relay boxes. It has policies, the operators, the rules that assign policies to
// requests, and the weights of client accounts. It has no routes or endpoints, because the boxes' platform manages them.
type Rules struct {
	Version  int64
	Policies []*Policy
	// Rules are tried in order. The first rule that matches a request decides which policy applies to it.
	Rules     []*Rule
	Operators []*Operator
	// Weights are the shares of client accounts relative to other accounts, by name. An account that is missing has 1.
	Weights map[string]float64
}

// Rule assigns a policy to requests. It selects requests by their properties. It does not select them by the name of a
// route, because a platform's route names change with its configuration.
type Rule struct {
	Name   string
	Policy string
	// Kind is a kind in ruleKinds; empty matches all requests.
	Kind string
	// Service is the name of a service; empty matches all services.
	Service string
	// Priority is the priority of the request's route, 0 being the highest; AnyPriority matches all priorities.
	Priority int
}

// AnyPriority matches routes of every priority.
const AnyPriority = -1

// Matches reports whether the rule applies to a request of this kind, service and priority.
func (r *Rule) Matches(kind, service string, priority int) bool {
	return (r.Kind == "" || r.Kind == kind) &&
		(r.Service == "" || r.Service == service) &&
		(r.Priority == AnyPriority || r.Priority == priority)
}

// Operator is a person who may query boxes and change the shared configuration.
type Operator struct {
	Name      string
	KeySHA256 string
}

// ruleKinds are the values of Rule.Kind: requests that may run only once, requests that may be repeated, and streams.
var ruleKinds = []string{"once", "repeatable", "stream"}

// ParseRules parses and validates a configuration of relay boxes. checkPolicy compiles a policy's program and runs its
// test cases.
func ParseRules(file string, text []byte, checkPolicy func(*Policy) error) (*Rules, error) {
	d, err := openDocument(file, text)
	if err != nil {
		return nil, err
	}
	out := &Rules{Weights: map[string]float64{}}
	policies, operators := map[string]bool{}, map[string]string{}
	for _, s := range d.sections() {
		out.parseSection(s, checkPolicy, operators)
		s.reportUnknownKeys()
	}
	for _, p := range out.Policies {
		policies[p.Name] = true
	}
	for _, r := range out.Rules {
		if r.Policy != "" && !policies[r.Policy] {
			d.addProblem("rule "+r.Name, "policy", "no section [policy %s]", r.Policy)
		}
	}
	if err := d.err(); err != nil {
		return nil, err
	}
	return out, nil
}

func (c *Rules) parseSection(s *section, checkPolicy func(*Policy) error, operators map[string]string) {
	if s.Name == "" {
		s.addProblem("", "expected a name, such as [%s NAME]", s.Kind)
		return
	}
	switch s.Kind {
	case "policy":
		c.Policies = append(c.Policies, parsePolicy(s, checkPolicy))
	case "rule":
		c.Rules = append(c.Rules, parseRule(s))
	case "operator":
		o := &Operator{Name: s.Name, KeySHA256: parseDigest(s, "key_sha256")}
		if other, ok := operators[o.KeySHA256]; ok {
			s.addProblem("key_sha256", "is also the key of operator %s", other)
		}
		operators[o.KeySHA256] = o.Name
		c.Operators = append(c.Operators, o)
	case "client":
		c.Weights[s.Name] = parseWeight(s)
	default:
		s.addProblem("", "is not a known section; expected policy, rule, operator or client (routes and endpoints are the platform's)")
	}
}

func parseRule(s *section) *Rule {
	r := &Rule{
		Name:     s.Name,
		Policy:   s.required("policy", "a policy's name"),
		Kind:     s.str("kind", ""),
		Service:  s.str("service", ""),
		Priority: s.integer("priority", AnyPriority, AnyPriority, 1<<20),
	}
	known := r.Kind == ""
	for _, k := range ruleKinds {
		known = known || r.Kind == k
	}
	if !known {
		s.addProblem("kind", "expected %s, found %q", strings.Join(ruleKinds, ", "), r.Kind)
	}
	return r
}

// OperatorByKey returns the operator who has this key; nil if there is none.
func (c *Rules) OperatorByKey(key string) *Operator {
	for _, o := range c.Operators {
		if KeyMatches(key, o.KeySHA256) {
			return o
		}
	}
	return nil
}

// SetSection returns the text with the body of one section replaced. If the text has no section of this name,
// SetSection appends one.
//
// Example: SetSection(text, "operator ana", "key_sha256 = 2d71…") keeps all other sections, their order and their
// comments.
func SetSection(text, name, body string) string {
	section := fmt.Sprintf("[%s]\n%s\n", name, strings.TrimRight(body, "\n"))
	start, end := findSection(text, name)
	if start < 0 {
		if text != "" && !strings.HasSuffix(text, "\n") {
			text += "\n"
		}
		return text + section
	}
	return text[:start] + section + text[end:]
}

// RemoveSection returns the text without one section. ok is false if the text has no such section.
func RemoveSection(text, name string) (out string, ok bool) {
	start, end := findSection(text, name)
	if start < 0 {
		return text, false
	}
	return text[:start] + text[end:], true
}

// findSection returns the byte offsets of the start and the end of a section. start is -1 if there is no such section.
// Lines inside """ quotes do not count as section headers. Comment lines directly above a header belong to that
// header's section, so a section ends before those of the next one.
func findSection(text, name string) (start, end int) {
	start, inText, offset := -1, false, 0
	comment := -1 // The start of the comment lines directly above the current line; -1 if there are none.
	for line := range strings.Lines(text) {
		trimmed := strings.TrimSpace(line)
		header := !inText && strings.HasPrefix(trimmed, "[") && strings.HasSuffix(trimmed, "]")
		if header && start >= 0 {
			if comment >= 0 {
				return start, comment
			}
			return start, offset
		}
		if header && trimmed == "["+name+"]" {
			start = offset
		}
		switch {
		case inText || !strings.HasPrefix(trimmed, "#") && !strings.HasPrefix(trimmed, ";"):
			comment = -1
		case comment < 0:
			comment = offset
		}
		if strings.Count(trimmed, `"""`)%2 == 1 {
			inText = !inText
		}
		offset += len(line)
	}
	return start, len(text)
}
