package config

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"
)

const (
	// defaultRetryShare and defaultRetryWindow, in seconds, stand in for figures that a platform
	// does not give: a tenth in ten seconds loads a failing service little.
	defaultRetryShare  = 0.1
	defaultRetryWindow = 10
	// defaultLimitWindow, in seconds, and defaultRevoked, in milliseconds, stand in for what a
	// platform without client accounts does not give.
	defaultLimitWindow = 10
	defaultRevoked     = 5000
)

// Relay holds the settings of a box that passes requests on byte for byte, as the
// platform's routes and lists say.
type Relay struct {
	// Name is unique among the live boxes.
	Name   string
	Region string
	Hall   string
	// Halls are the regions of all data halls, by the halls' names. A hall that is not named
	// counts as one of the box's own region.
	Halls map[string]string

	// MemoryMB is the memory that the platform gives the process, in megabytes: a process that
	// takes more is ended. 0 if there is no such bound.
	MemoryMB float64

	// Callers, Readiness and Operators are the addresses the box listens on, "ip:port".
	// Readiness answers whether the box takes connections. Operators may be empty.
	Callers   string
	Readiness string
	Operators string
	// OperatorKeySHA256 is the hex SHA-256 of the operators' key; empty lets nobody in.
	OperatorKeySHA256 string

	// Peers is where the box serves other boxes; empty if it is to be alone. PeersAddress is
	// where they reach it, if that is another address. Seeds are boxes to ask when the store
	// cannot be, with the port of Peers; they may be stale.
	Peers        string
	PeersAddress string
	Seeds        []string

	// OpenMetrics lets everybody who reaches the operators' address read the metrics.
	OpenMetrics bool
	// LoggedRate is how many requests that go well are logged a second.
	LoggedRate float64

	// Store is the address of the platform's table service.
	Store string
	// RereadWithin is the time after an outage of the store in which the box is to have read
	// everything again, and LeavingWithin the time in which it must know that an endpoint
	// is leaving. ConfigWithin is the time in which an accepted configuration must be in force.
	RereadWithin  time.Duration
	LeavingWithin time.Duration
	ConfigWithin  time.Duration

	// RetrySlack is how many calls beyond the first of each request and a share of them the
	// platform allows a service in RetryWindow, over all boxes; 0 if that is not known. It may
	// be a fraction.
	RetrySlack float64
	// RetryShare is that share of the requests, and RetryWindow the time in which both are counted.
	RetryShare  float64
	RetryWindow time.Duration

	// ColdOver multiplies the rate that an endpoint bears while it is cold, and ColdSlack comes
	// beside it: no second may bring it more requests of all boxes.
	ColdOver  float64
	ColdSlack float64

	// LimitOverage is a share of what a client account's limit gives in LimitWindow, and LimitSlack
	// units beside it, by which what all boxes let through may be over it.
	LimitWindow  time.Duration
	LimitOverage float64
	LimitSlack   float64
	// RevokedWithin is the time in which a key that was taken away must be refused. KeysStrict has a
	// box that has not heard of the configuration for so long refuse all requests with keys.
	RevokedWithin time.Duration
	KeysStrict    bool

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
		r.Halls = halls(s)
		r.LoggedRate = s.number("logged_rate", 40, 0, 1e6)
		r.MemoryMB = s.amount("memory_mb", 0, 0, 1<<30)
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
	case "peers":
		r.Peers = listenAddress(s)
		r.PeersAddress = s.str("address", "")
		if _, err := netip.ParseAddrPort(r.PeersAddress); r.PeersAddress != "" && err != nil {
			s.problem("address", "expected ip:port, found %q", r.PeersAddress)
		}
		r.Seeds = seeds(s, r.Peers)
	case "store":
		r.RereadWithin = s.duration("reread_within", 3*time.Second, time.Second, time.Hour)
		r.LeavingWithin = s.duration("leaving_within", 2*time.Second, time.Second, time.Hour)
		r.ConfigWithin = s.duration("config_within", 2*time.Second, time.Second, time.Hour)
		r.Store = s.need("address", "ip:port")
		if _, err := netip.ParseAddrPort(r.Store); r.Store != "" && err != nil {
			s.problem("address", "expected ip:port, found %q", r.Store)
		}
	case "engines":
		r.RetrySlack = s.amount("retry_slack", 0, 0, 1<<20)
		r.RetryShare = s.amount("retry_share", defaultRetryShare, 0, 1<<20)
		r.RetryWindow = time.Duration(s.amount("retry_window_s", defaultRetryWindow, 0, 1<<20) * float64(time.Second))
		r.ColdOver = s.amount("cold_over", 1, 0, 1<<20)
		r.ColdSlack = s.amount("cold_slack", 0, 0, 1<<20)
	case "accounts":
		r.LimitWindow = time.Duration(s.amount("limit_window_s", defaultLimitWindow, 0, 1<<20) * float64(time.Second))
		r.LimitOverage = s.amount("limit_overage", 0, 0, 1<<20)
		r.LimitSlack = s.amount("limit_slack", 0, 0, 1<<40)
		r.RevokedWithin = time.Duration(s.amount("revoked_within_ms", defaultRevoked, 0, 1<<40) * float64(time.Millisecond))
		r.KeysStrict = s.flag("strict_revocation", false)
	default:
		s.problem("", "is not a known section; expected box, callers, readiness, operators, peers, store, engines or accounts")
	}
}

// halls reads the regions of data halls: "hall:region" each.
func halls(s *section) map[string]string {
	out := map[string]string{}
	for _, text := range s.list("halls") {
		hall, region, ok := strings.Cut(text, ":")
		if !ok || hall == "" || region == "" {
			s.problem("halls", "expected hall:region, found %q", text)
			continue
		}
		out[hall] = region
	}
	return out
}

// seeds reads addresses of other boxes. They all serve others on one port, whatever the port
// is that the settings name them by, unless this box takes any port that is free.
func seeds(s *section, own string) (out []string) {
	self, err := netip.ParseAddrPort(own)
	if err != nil {
		return nil // That was said before.
	}
	for _, text := range s.list("seeds") {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			s.problem("seeds", "expected ip:port, found %q", text)
			continue
		}
		if self.Port() != 0 {
			a = netip.AddrPortFrom(a.Addr(), self.Port())
		}
		out = append(out, a.String())
	}
	return out
}
