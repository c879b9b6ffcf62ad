package config

import (
	"fmt"
	"net/netip"
	"os"
	"time"
)

// Relay holds the settings of a box that passes requests on byte for byte, as the
// platform's routes and lists say.
type Relay struct {
	// Name is unique among the live boxes.
	Name   string
	Region string
	Hall   string

	// Callers, Readiness and Operators are the addresses the box listens on, "ip:port".
	// Readiness answers whether the box takes connections. Operators may be empty.
	Callers   string
	Readiness string
	Operators string
	// OperatorKeySHA256 is the hex SHA-256 of the operators' key; empty lets nobody in.
	OperatorKeySHA256 string

	// OpenMetrics lets everybody who reaches the operators' address read the metrics.
	OpenMetrics bool
	// LoggedRate is how many requests that go well are logged a second.
	LoggedRate float64

	// Store is the address of the platform's table service.
	Store string
	// RereadWithin is the time after an outage of the store in which the box is to have read
	// everything again, and LeavingWithin the time in which it must know that an endpoint
	// is leaving.
	RereadWithin  time.Duration
	LeavingWithin time.Duration

	// ExpectPrompt, ExpectOutput and ExpectGap are what is expected of streams until some
	// were seen: tokens, tokens, and the target between events. 0 if nothing.
	ExpectPrompt int
	ExpectOutput int
	ExpectGap    time.Duration

	// Queue bounds the requests that wait for engines on this box.
	Queue int
	// Linger is how long a stopping box still takes new requests, until callers have
	// learned that it is leaving. StopTimeout bounds the whole planned stop.
	Linger      time.Duration
	StopTimeout time.Duration
	// HeaderTimeout bounds reading a request's head, IdleTimeout a connection at rest.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// LoadRelay reads and checks the settings of a file.
func LoadRelay(file string) (*Relay, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return ParseRelay(file, text)
}

// ParseRelay checks the text of a relay box's settings.
func ParseRelay(file string, text []byte) (*Relay, error) {
	d, err := openDocument(file, text)
	if err != nil {
		return nil, err
	}
	r := &Relay{}
	seen := map[string]bool{}
	for _, s := range d.sections() {
		seen[s.Kind] = true
		r.section(s)
		s.done()
	}
	for _, kind := range []string{"box", "callers", "readiness", "store"} {
		if !seen[kind] {
			d.problem(kind, "", "the section is missing")
		}
	}
	if err := d.err(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Relay) section(s *section) {
	switch s.Kind {
	case "box":
		r.Name = s.need("name", "the box's name")
		r.Region = s.need("region", "the region's name")
		r.Hall = s.need("hall", "the data hall's name")
		r.LoggedRate = s.number("logged_rate", 40, 0, 1e6)
		r.Queue = s.integer("queue", 256, 1, 1<<20)
		r.Linger = s.duration("linger", 2500*time.Millisecond, 0, time.Minute)
		r.StopTimeout = s.duration("stop_timeout", 7500*time.Millisecond, time.Second, 24*time.Hour)
		if r.Linger >= r.StopTimeout {
			s.problem("linger", "expected less than stop_timeout")
		}
	case "callers":
		r.Callers = listenAddress(s)
		r.HeaderTimeout = s.duration("header_timeout", 3*time.Second, 100*time.Millisecond, time.Minute)
		r.IdleTimeout = s.duration("idle_timeout", 20*time.Second, time.Second, time.Hour)
	case "readiness":
		r.Readiness = listenAddress(s)
	case "operators":
		r.Operators = listenAddress(s)
		r.OpenMetrics = s.boolean("open_metrics", false)
		if s.str("key_sha256", "") != "" {
			r.OperatorKeySHA256 = digest(s, "key_sha256")
		}
	case "store":
		r.RereadWithin = s.duration("reread_within", 3*time.Second, time.Second, time.Minute)
		r.LeavingWithin = s.duration("leaving_within", 2*time.Second, time.Second, time.Minute)
		r.Store = s.need("address", "ip:port")
		if _, err := netip.ParseAddrPort(r.Store); r.Store != "" && err != nil {
			s.problem("address", "expected ip:port, found %q", r.Store)
		}
	case "engines":
		r.ExpectPrompt = s.integer("expect_prompt_tokens", 0, 0, 1<<20)
		r.ExpectOutput = s.integer("expect_output_tokens", 0, 0, 1<<20)
		r.ExpectGap = s.duration("expect_gap", 300*time.Millisecond, time.Millisecond, time.Minute)
	default:
		s.problem("", "is not a known section; expected box, callers, readiness, operators, store or engines")
	}
}
