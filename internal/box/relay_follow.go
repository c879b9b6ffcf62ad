package box

import (
	"bytes"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/control"
	"github.com/stoatramp/stoatramp/internal/follow"
	"github.com/stoatramp/stoatramp/internal/policy"
	"github.com/stoatramp/stoatramp/internal/relay"
)

// This file is what a relay box follows: the operator's configuration, the list of
// endpoints, and the shared configuration of policies and operators.

// Pace of the tables. Each call to the store is dear on a large fleet, so a call waits as
// long as it may for a change: one that the store has lost must have run out before the
// time in which the box is to have read everything again. The list of endpoints changes
// often and is read in batches, as seldom as the time in which it must know that one is
// leaving allows.
const (
	callLimit = 600 * time.Millisecond
	// rereadSlack is what a call that was lost and the one after it take beside the wait.
	rereadSlack = 800 * time.Millisecond
	// leavingSlack is what reading the list and ending what was just begun take.
	leavingSlack = 900 * time.Millisecond
	shortWait    = 500 * time.Millisecond
	shortPause   = 200 * time.Millisecond
	changePause  = 50 * time.Millisecond
	// rulesWait is longer: policies are changed by hand.
	rulesWait = 8 * time.Second
)

// paces returns those of the configuration, the list and the policies.
func paces(cfg *config.Relay) (operator, list, rules follow.Options) {
	link := &follow.Link{}
	wait := max(shortWait, cfg.RereadWithin-rereadSlack)
	operator = follow.Options{Wait: wait, Pause: changePause, Limit: callLimit, Link: link}
	list = follow.Options{Wait: wait, Pause: max(shortPause, cfg.LeavingWithin-leavingSlack), Limit: callLimit, Link: link}
	rules = follow.Options{Wait: rulesWait, Pause: changePause, Limit: callLimit, Link: link}
	return operator, list, rules
}

// follow begins to follow all tables.
func (b *RelayBox) follow() {
	operator, list, rules := paces(b.settings.Load())
	b.followTable("configuration", b.site.Operator, operator, &b.configHeard, b.configure)
	b.followTable("endpoints", b.site.Endpoints, list, &b.listHeard, b.list)
	b.followTable("policies", b.site.SharedChanges, rules, &b.rulesHeard, b.takeRules)
}

func (b *RelayBox) followTable(name string, src follow.Source, o follow.Options, heard *follow.Freshness, apply func(map[string][]byte)) {
	t := follow.New(src, o, apply)
	t.Fresh = heard
	t.Lost = func(err error) {
		b.book.Log.Belief("store lost", zap.String("table", name), zap.Duration("age", heard.Age()), zap.Error(err))
	}
	t.Back = func(away time.Duration) {
		b.book.Log.Belief("store back", zap.String("table", name), zap.Duration("away", away))
	}
	go t.Run(b.ctx)
}

func (b *RelayBox) configure(rows map[string][]byte) {
	c, err := b.site.Config(rows)
	if err != nil {
		b.book.Log.Belief("configuration not taken", zap.Error(err))
		return
	}
	if c == nil || c.Version <= b.Relay.Version() {
		return
	}
	old := b.Relay.Version()
	b.Relay.SetConfig(c)
	b.book.Log.Belief("configuration in force", zap.Int64("version", c.Version), zap.Int64("before", old), zap.Int("routes", len(c.Routes)))
}

// takeRules puts a newer shared configuration in force. Versions only grow here, whatever
// the store answers; one that does not compile is not taken, and the last one stays.
func (b *RelayBox) takeRules(rows map[string][]byte) {
	v, err := control.Current(rows, b.site.Versioned)
	if err == nil && (v == nil || v.Number <= b.Relay.PolicyVersion()) {
		return
	}
	var c *config.Rules
	var set *policy.RuleSet
	if err == nil {
		c, err = parseRules(v)
	}
	if err == nil {
		set, err = policy.CompileRules(c)
	}
	if err != nil {
		b.book.Log.Belief("policies not taken", zap.Error(err))
		return
	}
	b.rules.Store(c)
	b.Relay.SetPolicies(c.Version, set)
	b.book.Log.Belief("policies in force", zap.Int64("version", c.Version), zap.String("author", v.Author),
		zap.Int("policies", len(c.Policies)), zap.Int("rules", len(c.Rules)), zap.Int("operators", len(c.Operators)))
}

// parseRules reads an accepted version. Its cases passed before it was accepted.
func parseRules(v *control.Version) (*config.Rules, error) {
	c, err := config.ParseRules(fmt.Sprintf("version %d", v.Number), []byte(v.Text), nil)
	if err != nil {
		return nil, err
	}
	c.Version = v.Number
	return c, nil
}

// checkRules checks a text that is to be accepted, with the policies' own cases.
func checkRules(text string) error {
	_, err := config.ParseRules("configuration", []byte(text), policy.Check)
	return err
}

// isOperator tells whether a key is that of the settings or of an operator of the shared
// configuration.
func (b *RelayBox) isOperator(key string) bool {
	if first := b.settings.Load().OperatorKeySHA256; first != "" && config.KeyMatches(key, first) {
		return true
	}
	return key != "" && b.rules.Load().OperatorByKey(key) != nil
}

// listedEndpoint is a row of the list as it was last read.
type listedEndpoint struct {
	text     []byte
	endpoint relay.Endpoint
}

// list takes the list of endpoints. Most rows are as before, and most that changed say
// nothing new of their endpoint: only new text is read, and only news are handed on.
func (b *RelayBox) list(rows map[string][]byte) {
	next := make(map[string]listedEndpoint, len(rows))
	news := len(rows) != len(b.listed)
	for key, text := range rows {
		old, known := b.listed[key]
		if known && bytes.Equal(old.text, text) {
			next[key] = old
			continue
		}
		e, err := b.site.Endpoint(key, text)
		if err != nil {
			b.book.Log.Belief("endpoint not taken", zap.Error(err))
			continue
		}
		news = news || !known || e != old.endpoint
		next[key] = listedEndpoint{text, e}
	}
	b.listed = next
	if !news {
		return
	}
	out := make([]relay.Endpoint, 0, len(next))
	for _, l := range next {
		out = append(out, l.endpoint)
	}
	b.Relay.SetEndpoints(out)
}
