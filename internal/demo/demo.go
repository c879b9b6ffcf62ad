// Package demo starts stand-ins on loopback for everything that a small site needs: engines, a plain service and the
// platform. It also writes the settings of a box that uses these stand-ins. A box is a machine that runs the router.
package demo

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/control"
	"github.com/stoatramp/stoatramp/internal/cost"
	"github.com/stoatramp/stoatramp/internal/platform"
	"github.com/stoatramp/stoatramp/internal/standin"
)

// The keys of the demo, which are public. They protect only stand-ins on loopback.
const (
	ClientKey   = "demo-client-key"
	OperatorKey = "demo-operator-key"
	PeerKey     = "demo-peer-key"
	Model       = "verdict-lm"
)

// Options configure a Site. Prefills and Decodes are the numbers of engines; Model is their cost model.
type Options struct {
	Prefills, Decodes int
	Model             cost.Model
	// Callers and Operators are the box's listen addresses; if empty, free loopback ports are used.
	Callers, Operators string
	// ExtraConfig is text to append to the shared configuration.
	ExtraConfig string
	// Route is text to append to the configuration section of the only route.
	Route string
	// Client is text to append to the configuration section of the only client.
	Client string
}

// DefaultModel returns the cost model of a small engine: it processes a prompt of 1,000 tokens in about 50 ms, and
// generates a token in about 10 ms.
func DefaultModel() cost.Model {
	return cost.Model{
		PrefillRate:     20000,
		PrefillBase:     2 * time.Millisecond,
		Step:            8 * time.Millisecond,
		StepPerStream:   100 * time.Microsecond,
		KVTokens:        200000,
		KVBytesPerToken: 131072,
		LinkRate:        12.5e9,
		Expiry:          5 * time.Second,
	}
}

// Site is a running set of stand-ins: the engines, a plain service and the platform.
type Site struct {
	Platform *standin.Platform
	Prefills []*standin.Engine
	Decodes  []*standin.Engine
	Service  *standin.Service
	// Settings is the INI text of the settings of the first box. Shared is the shared configuration of all boxes.
	Settings string
	Shared   string
	// SettingsFor returns the settings of another box that listens on the addresses in Options. SettingsAt returns the
	// settings of a box that listens on the given addresses.
	SettingsFor func(name string) string
	SettingsAt  func(name, callers, operators string) string
	// Store reads and writes the shared configuration.
	Store   *control.Store
	servers map[string]*standin.Server
}

// Start starts the stand-ins and stores the shared configuration in the platform's table.
func Start(ctx context.Context, o Options) (*Site, error) {
	s := &Site{Platform: standin.NewPlatform(), Service: &standin.Service{}, servers: map[string]*standin.Server{}}
	plat, err := standin.Listen(s.Platform.Handler())
	if err != nil {
		return nil, err
	}
	s.servers["platform"] = plat
	var shared bytes.Buffer
	fmt.Fprintf(&shared, "[pool %s]\nkv_bytes_per_token = %d\nprefill_expiry = %s\n\n", Model, o.Model.KVBytesPerToken, o.Model.Expiry)
	for i := range o.Prefills {
		e, err := s.addEngine(fmt.Sprintf("prefill-%d", i+1), "prefill", o.Model, &shared)
		if err != nil {
			return nil, err
		}
		s.Prefills = append(s.Prefills, e)
	}
	for i := range o.Decodes {
		e, err := s.addEngine(fmt.Sprintf("decode-%d", i+1), "decode", o.Model, &shared)
		if err != nil {
			return nil, err
		}
		s.Decodes = append(s.Decodes, e)
	}
	svc, err := standin.Listen(s.Service)
	if err != nil {
		return nil, err
	}
	s.servers["bookings-1"] = svc
	fmt.Fprintf(&shared, "[service bookings]\nprefix = /bookings/\nrepeatable = GET, HEAD\n\n")
	fmt.Fprintf(&shared, "[endpoint bookings-1]\nservice = bookings\naddress = %s\nregion = perth\nhall = malaga-hall\n\n", svc.Addr)
	fmt.Fprintf(&shared, "[route verdicts]\nmodel = %s\n%s\n\n", Model, o.Route)
	fmt.Fprintf(&shared, "[client demo]\nkey_sha256 = %s\n%s\n\n%s", config.KeyDigest(ClientKey), o.Client, o.ExtraConfig)
	s.Shared = shared.String()
	s.Settings = settings("box1", plat.Addr, o)
	s.SettingsFor = func(name string) string { return settings(name, plat.Addr, o) }
	s.SettingsAt = func(name, callers, operators string) string {
		return settings(name, plat.Addr, Options{Callers: callers, Operators: operators})
	}
	s.Store = control.NewStore(platform.NewClient("http://"+plat.Addr, ""))
	_, err = s.Store.Apply(ctx, 0, control.Version{Text: s.Shared, Author: "demo", At: time.Now()})
	return s, err
}

func settings(name, platformAddr string, o Options) string {
	callers, operators := o.Callers, o.Operators
	if callers == "" {
		callers = "127.0.0.1:0"
	}
	if operators == "" {
		operators = "127.0.0.1:0"
	}
	return fmt.Sprintf(`[box]
name = %s
region = perth
hall = malaga-hall

[callers]
listen = %s

[operators]
listen = %s
key_sha256 = %s

[peers]
key = %s

[platform]
url = http://%s
`, name, callers, operators, config.KeyDigest(OperatorKey), PeerKey, platformAddr)
}

func (s *Site) addEngine(name, role string, m cost.Model, shared *bytes.Buffer) (*standin.Engine, error) {
	e := standin.NewEngine(name, m)
	srv, err := standin.Listen(e.Handler())
	if err != nil {
		return nil, err
	}
	e.Addr = srv.Addr
	s.servers[name] = srv
	fmt.Fprintf(shared, "[endpoint %s]\npool = %s\nrole = %s\naddress = %s\nregion = perth\nhall = malaga-hall\n", name, Model, role, srv.Addr)
	fmt.Fprintf(shared, "prefill_rate = %g\nkv_tokens = %d\nstep = %s\nstep_per_stream = %s\nlink_rate = %g\n\n", m.PrefillRate, m.KVTokens, m.Step, m.StepPerStream, m.LinkRate)
	return e, nil
}

// Crash stops the stand-in with this name and drops its connections, as a crash would.
func (s *Site) Crash(name string) {
	s.servers[name].Close()
	for _, e := range append(s.Prefills, s.Decodes...) {
		if e.Name == name {
			e.Close()
		}
	}
}

// Close stops all stand-ins.
func (s *Site) Close() {
	for _, srv := range s.servers {
		srv.Close()
	}
	for _, e := range append(s.Prefills, s.Decodes...) {
		e.Close()
	}
}
