package cli

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/config"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// The commands in this file change one section of the shared configuration. Each change is based on the accepted
// version, and is rejected if that version is replaced before the change arrives.

// editConfig reads the text of the accepted configuration, passes it to change, and submits the text that change
// returns.
func (a *app) editConfig(author string, change func(text string) (string, error)) error {
	now, err := a.fetch(0)
	if connect.CodeOf(err) == connect.CodeNotFound {
		now, err = &v1.GetConfigResponse{}, nil // There is no configuration yet.
	}
	if err != nil {
		return err
	}
	text, err := change(now.Text)
	if err != nil {
		return err
	}
	return a.apply(text, now.Version, author)
}

// These functions return the names of sections of the shared configuration.
func policySection(name string) string   { return "policy " + name }
func ruleSection(name string) string     { return "rule " + name }
func operatorSection(name string) string { return "operator " + name }

type policyApplyCmd struct {
	File     string `arg:"" help:"The program, NAME.star; its test cases are read from NAME_test.star, if it exists."`
	Name     string `help:"The policy's name; the file's base name if not given."`
	Kind     string `help:"Apply only to requests of this kind: once, repeatable or stream."`
	Service  string `help:"Apply only to requests to this service."`
	Priority int    `help:"Apply only to routes of this priority; -1 means all." default:"-1"`
	Author   string `help:"Author of the change; the current user if not given."`
}

// errTripleQuotes is the error for a program or test cases that contain """, which would end the quoted text too early.
var errTripleQuotes = errors.New(`the text contains """, which ends a program in the configuration; use # comments`)

func (c *policyApplyCmd) Run(a *app) error {
	program, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	cases, err := os.ReadFile(strings.TrimSuffix(c.File, ".star") + "_test.star")
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if strings.Contains(string(program)+string(cases), `"""`) {
		return &exitError{exitProblems, errTripleQuotes}
	}
	name := c.Name
	if name == "" {
		name = strings.TrimSuffix(filepath.Base(c.File), ".star")
	}
	return a.editConfig(authorOrCurrentUser(c.Author), func(text string) (string, error) {
		text = config.SetSection(text, policySection(name), policyBody(string(program), string(cases)))
		return config.SetSection(text, ruleSection(name), c.ruleBody(name)), nil
	})
}

func policyBody(program, cases string) string {
	body := fmt.Sprintf("program = \"\"\"\n%s\"\"\"\n", program)
	if cases != "" {
		body += fmt.Sprintf("cases = \"\"\"\n%s\"\"\"\n", cases)
	}
	return body
}

func (c *policyApplyCmd) ruleBody(policy string) string {
	body := fmt.Sprintf("policy = %s\n", policy)
	if c.Kind != "" {
		body += fmt.Sprintf("kind = %s\n", c.Kind)
	}
	if c.Service != "" {
		body += fmt.Sprintf("service = %s\n", c.Service)
	}
	if c.Priority != config.AnyPriority {
		body += fmt.Sprintf("priority = %d\n", c.Priority)
	}
	return body
}

type policyGetCmd struct {
	Name    string `arg:"" optional:"" help:"The policy; all are listed if not given."`
	Version int64  `help:"The version to read; 0 means the accepted one."`
}

func (c *policyGetCmd) Run(a *app) error {
	rules, err := a.rules(c.Version)
	if err != nil {
		return err
	}
	if c.Name == "" {
		if a.JSON {
			return a.printValueAsJSON(newRulesJSON(rules))
		}
		for _, r := range rules.Rules {
			fmt.Fprintf(a.out, "%s: policy %s for %s\n", r.Name, r.Policy, ruleScope(r))
		}
		return nil
	}
	for _, p := range rules.Policies {
		if p.Name == c.Name {
			program := strings.Trim(p.Program, "\n")
			if a.JSON {
				return a.printValueAsJSON(policyJSON{rules.Version, p.Name, program, strings.Trim(p.Cases, "\n")})
			}
			_, err := fmt.Fprintln(a.out, program)
			return err
		}
	}
	return &exitError{exitNotFound, fmt.Errorf("no policy %q in version %d", c.Name, rules.Version)}
}

// policyJSON is the output of "policy get NAME --json".
type policyJSON struct {
	Version int64  `json:"version,string"`
	Name    string `json:"name"`
	Program string `json:"program"`
	Cases   string `json:"cases"`
}

// rulesJSON is the output of "policy get --json".
type rulesJSON struct {
	Version int64      `json:"version,string"`
	Rules   []ruleJSON `json:"rules"`
}

type ruleJSON struct {
	Name    string `json:"name"`
	Policy  string `json:"policy"`
	Kind    string `json:"kind"`
	Service string `json:"service"`
	// Priority is nil if the rule applies to routes of every priority.
	Priority *int `json:"priority"`
}

func newRulesJSON(rules *config.Rules) rulesJSON {
	out := rulesJSON{Version: rules.Version, Rules: []ruleJSON{}}
	for _, r := range rules.Rules {
		j := ruleJSON{Name: r.Name, Policy: r.Policy, Kind: r.Kind, Service: r.Service}
		if r.Priority != config.AnyPriority {
			j.Priority = &r.Priority
		}
		out.Rules = append(out.Rules, j)
	}
	return out
}

// ruleScope describes in words the requests that a rule applies to.
func ruleScope(r *config.Rule) string {
	var parts []string
	if r.Kind != "" {
		parts = append(parts, "kind "+r.Kind)
	}
	if r.Service != "" {
		parts = append(parts, "service "+r.Service)
	}
	if r.Priority != config.AnyPriority {
		parts = append(parts, fmt.Sprintf("priority %d", r.Priority))
	}
	if len(parts) == 0 {
		return "all requests"
	}
	return strings.Join(parts, ", ")
}

// rules reads and parses a version of the shared configuration of relay boxes. Version 0 stands for the accepted one.
func (a *app) rules(version int64) (*config.Rules, error) {
	got, err := a.fetch(version)
	if err != nil {
		return nil, err
	}
	rules, err := config.ParseRules(fmt.Sprintf("version %d", got.Version), []byte(got.Text), nil)
	if err != nil {
		return nil, err
	}
	rules.Version = got.Version
	return rules, nil
}

type policyRemoveCmd struct {
	Name   string `arg:"" help:"The policy."`
	Author string `help:"Author of the change; the current user if not given."`
}

func (c *policyRemoveCmd) Run(a *app) error {
	return a.editConfig(authorOrCurrentUser(c.Author), func(text string) (string, error) {
		out, ok := config.RemoveSection(text, policySection(c.Name))
		if !ok {
			return "", &exitError{exitNotFound, fmt.Errorf("no policy %q", c.Name)}
		}
		out, _ = config.RemoveSection(out, ruleSection(c.Name))
		return out, nil
	})
}

type keyCmd struct {
	Issue  keyIssueCmd  `cmd:"" help:"Create a key for an operator and print it once. Only its hash is stored."`
	List   keyListCmd   `cmd:"" help:"List the operators."`
	Revoke keyRevokeCmd `cmd:"" help:"Revoke an operator's key."`
}

type keyIssueCmd struct {
	Name   string `arg:"" help:"The operator's name. A key issued earlier under this name stops working."`
	Author string `help:"Author of the change; the current user if not given."`
}

func (c *keyIssueCmd) Run(a *app) error {
	key := rand.Text()
	err := a.editConfig(authorOrCurrentUser(c.Author), func(text string) (string, error) {
		return config.SetSection(text, operatorSection(c.Name), "key_sha256 = "+config.KeyDigest(key)), nil
	})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.out, "The key of %s, shown only now: %s\n", c.Name, key)
	return err
}

type keyListCmd struct{}

func (c *keyListCmd) Run(a *app) error {
	rules, err := a.rules(0)
	if err != nil {
		return err
	}
	if a.JSON {
		out := operatorsJSON{Version: rules.Version, Operators: []operatorJSON{}}
		for _, o := range rules.Operators {
			out.Operators = append(out.Operators, operatorJSON{o.Name, o.KeySHA256[:shownDigits]})
		}
		return a.printValueAsJSON(out)
	}
	for _, o := range rules.Operators {
		fmt.Fprintf(a.out, "%s  sha256 %s…\n", o.Name, o.KeySHA256[:shownDigits])
	}
	return nil
}

// shownDigits is how many digits of a key's hash are shown: enough to tell keys apart.
const shownDigits = 12

// operatorsJSON is the output of "key list --json".
type operatorsJSON struct {
	Version   int64          `json:"version,string"`
	Operators []operatorJSON `json:"operators"`
}

type operatorJSON struct {
	Name      string `json:"name"`
	KeyPrefix string `json:"key_sha256_prefix"`
}

type keyRevokeCmd struct {
	Name   string `arg:"" help:"The operator's name."`
	Author string `help:"Author of the change; the current user if not given."`
}

func (c *keyRevokeCmd) Run(a *app) error {
	return a.editConfig(authorOrCurrentUser(c.Author), func(text string) (string, error) {
		out, ok := config.RemoveSection(text, operatorSection(c.Name))
		if !ok {
			return "", &exitError{exitNotFound, fmt.Errorf("no operator %q", c.Name)}
		}
		return out, nil
	})
}

// apply submits a text that is based on the version base, and prints the result.
func (a *app) apply(text string, base int64, author string) error {
	resp, err := a.client().ApplyConfig(context.Background(), connect.NewRequest(&v1.ApplyConfigRequest{Text: text, BaseVersion: base, Author: author}))
	if err != nil {
		return err
	}
	if done, err := a.printIfJSON(resp.Msg); done && err != nil {
		return err
	}
	switch {
	case len(resp.Msg.Problems) > 0:
		return problemsError(resp.Msg.Problems)
	case resp.Msg.Conflict:
		return a.conflictError(base, resp.Msg.Version)
	}
	return a.reportAccepted(resp.Msg)
}
