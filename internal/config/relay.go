package config

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"
)

const (
	// The retry budget for a platform that specifies none. In any 10 seconds, the number of retries may reach 0.1 times
	// the number of requests. So few retries add little load to a failing service.
	defaultRetryShare         = 0.1
	defaultRetryWindowSeconds = 10
	// How exactly limits and the revocation of keys are enforced. These defaults apply if the platform does not specify
	// them, for example because it has no client accounts.
	defaultLimitWindowSeconds = 10
	defaultRevokedWithinMS    = 5000
)

// MaxLinkMbps is the largest bandwidth of a box's link that is accepted.
const MaxLinkMbps = 1e6

// Relay holds the settings of a relay box. A box is a machine that runs the router. A relay box forwards requests byte
// for byte to endpoints (back ends). Its platform lists the routes and the endpoints. The other kind of box is a
// gateway box: its settings are in Box, and its routes are in Shared.
type Relay struct {
	// Name is the name of the box, unique among the running boxes.
	Name   string
	Region string
	Hall   string
	// Halls maps each data hall (zone) to its region. A hall that is not in the map counts as part of the box's region.
	Halls map[string]string

	// MemoryMB is the memory limit in megabytes that the platform sets for the process. The platform kills a process
	// that exceeds the limit. 0 means no limit.
	MemoryMB float64

	// LinkMbps is the bandwidth of the box's network link in Mbit/s, up to MaxLinkMbps; 0 if it is not known.
	LinkMbps float64

	// Callers, Readiness and Operators are listen addresses of the box, "ip:port". The box receives requests at
	// Callers. At Readiness, the platform asks whether the box accepts requests. Operators serves status and metrics;
	// it may be empty.
	Callers   string
	Readiness string
	Operators string
	// OperatorKeySHA256 is the hex SHA-256 of a key that gives access to the operators' address. If OperatorKeySHA256
	// is empty, only the operator keys in the shared configuration give access.
	OperatorKeySHA256 string

	// Peers is the listen address for other boxes. If Peers is empty, the box runs alone. PeersAddress is the address
	// at which the other boxes reach this box; it is set if that address differs from Peers. Seeds are addresses of
	// boxes to contact while the platform's store is unavailable. Seeds may be out of date.
	Peers        string
	PeersAddress string
	Seeds        []string

	// OpenMetrics makes the metrics on the operators' address readable without a key.
	OpenMetrics bool
	// LoggedRate is the maximum number of successful requests per second that are logged.
	LoggedRate float64

	// Store is the address of the platform's store, from which the box reads its routes and lists.
	Store string
	// RereadWithin is the maximum time from the end of an outage of the store until the box has reread everything.
	// LeavingWithin is the maximum time until the box knows that an endpoint is leaving. ConfigWithin is the maximum
	// time until an accepted configuration is in force.
	RereadWithin  time.Duration
	LeavingWithin time.Duration
	ConfigWithin  time.Duration

	// RetrySlack limits the retries of each service. In each RetryWindow, all boxes together may send the service
	// RetryShare times the number of its requests, plus RetrySlack, as retries. RetrySlack is 0 if the platform does
	// not specify it. RetrySlack need not be an integer.
	RetrySlack float64
	// RetryShare is the allowed ratio of retries to requests. RetryWindow is the time over which both are counted.
	RetryShare  float64
	RetryWindow time.Duration

	// A cold endpoint has just started and can serve fewer requests than later. The limit for it covers any second and
	// all boxes together. They may send it ColdRateFactor times the requests that it can serve while cold, plus
	// ColdRateSlack. ColdRateFactor is at least 1.
	ColdRateFactor float64
	ColdRateSlack  float64

	// Boxes may exceed a client account's limit a little. The excess covers all boxes together and each LimitWindow. It
	// is at most LimitOverage times what the limit allows in the window, plus LimitSlack, in the unit of the limit.
	LimitWindow  time.Duration
	LimitOverage float64
	LimitSlack   float64
	// RevokedWithin is the time within which boxes must begin to refuse a revoked key. StrictRevocation matters for a
	// box that has not received the configuration for RevokedWithin. If it is set, that box refuses all requests with
	// keys.
	RevokedWithin    time.Duration
	StrictRevocation bool

	// EndpointProxy is the address, "ip:port", of an HTTP proxy through which the box opens its connections to endpoints
	// (method CONNECT). If it is empty, the box connects directly.
	EndpointProxy string

	// SharedSlots lets the boxes share the slots of endpoints without engines while calls compete for them: before a
	// call, a box asks the box that grants the slots. If it is not set, each box decides by its own calls alone.
	SharedSlots bool

	// Queue is the maximum number of requests on this box that wait for an engine.
	Queue int
	// GracePeriod is how long a stopping box still accepts new requests. Callers need this time to learn that the box
	// is leaving. StopTimeout is the maximum duration of the whole planned stop.
	GracePeriod time.Duration
	StopTimeout time.Duration
	// HeaderTimeout bounds reading a request's headers. IdleTimeout is how long a connection may be idle.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// LoadRelay reads and validates the settings file of a relay box.
func LoadRelay(file string) (*Relay, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return ParseRelay(file, text)
}

// ParseRelay parses and validates the text of a relay box's settings.
func ParseRelay(file string, text []byte) (*Relay, error) {
	d, err := openDocument(file, text)
	if err != nil {
		return nil, err
	}
	r := &Relay{SharedSlots: true} // Also without the section [plain].
	seen := map[string]bool{}
	for _, s := range d.sections() {
		seen[s.Kind] = true
		r.parseSection(s)
		s.reportUnknownKeys()
	}
	for _, kind := range []string{"box", "callers", "readiness", "store"} {
		if !seen[kind] {
			d.addProblem(kind, "", "the section is missing")
		}
	}
	if err := d.err(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *Relay) parseSection(s *section) {
	switch s.Kind {
	case "box":
		r.Name = s.required("name", "the box's name")
		r.Region = s.required("region", "the region's name")
		r.Hall = s.required("hall", "the data hall's name")
		r.Halls = parseHalls(s)
		r.LoggedRate = s.number("logged_rate", 40, 0, 1e6)
		r.MemoryMB = s.numberOrBlank("memory_mb", 0, 0, 1<<30)
		r.LinkMbps = s.numberOrBlank("link_mbps", 0, 0, MaxLinkMbps)
		r.Queue = s.integer("queue", 256, 1, 1<<20)
		r.GracePeriod = s.duration("linger", 2500*time.Millisecond, 0, time.Minute)
		r.StopTimeout = s.duration("stop_timeout", 7500*time.Millisecond, time.Second, 24*time.Hour)
		if r.GracePeriod >= r.StopTimeout {
			s.addProblem("linger", "expected less than stop_timeout")
		}
	case "callers":
		r.Callers = parseListenAddress(s)
		r.HeaderTimeout = s.duration("header_timeout", 3*time.Second, 100*time.Millisecond, time.Minute)
		r.IdleTimeout = s.duration("idle_timeout", 20*time.Second, time.Second, time.Hour)
	case "readiness":
		r.Readiness = parseListenAddress(s)
	case "operators":
		r.Operators = parseListenAddress(s)
		r.OpenMetrics = s.boolean("open_metrics", false)
		if s.str("key_sha256", "") != "" {
			r.OperatorKeySHA256 = parseDigest(s, "key_sha256")
		}
	case "peers":
		r.Peers = parseListenAddress(s)
		r.PeersAddress = s.str("address", "")
		if _, err := netip.ParseAddrPort(r.PeersAddress); r.PeersAddress != "" && err != nil {
			s.addProblem("address", "expected ip:port, found %q", r.PeersAddress)
		}
		r.Seeds = parseSeeds(s, r.Peers)
	case "store":
		r.RereadWithin = s.duration("reread_within", 3*time.Second, time.Second, time.Hour)
		r.LeavingWithin = s.duration("leaving_within", 2*time.Second, time.Second, time.Hour)
		r.ConfigWithin = s.duration("config_within", 2*time.Second, time.Second, time.Hour)
		r.Store = s.required("address", "ip:port")
		if _, err := netip.ParseAddrPort(r.Store); r.Store != "" && err != nil {
			s.addProblem("address", "expected ip:port, found %q", r.Store)
		}
	case "engines":
		r.RetrySlack = s.numberOrBlank("retry_slack", 0, 0, 1<<20)
		r.RetryShare = s.numberOrBlank("retry_share", defaultRetryShare, 0, 1<<20)
		r.RetryWindow = time.Duration(s.numberOrBlank("retry_window_s", defaultRetryWindowSeconds, 0, 1<<20) * float64(time.Second))
		r.ColdRateFactor = s.numberOrBlank("cold_over", 1, 0, 1<<20)
		r.ColdRateSlack = s.numberOrBlank("cold_slack", 0, 0, 1<<20)
	case "endpoints":
		r.EndpointProxy = s.str("proxy", "")
		if _, err := netip.ParseAddrPort(r.EndpointProxy); r.EndpointProxy != "" && err != nil {
			s.addProblem("proxy", "expected ip:port, found %q", r.EndpointProxy)
		}
	case "plain":
		r.SharedSlots = s.booleanOrBlank("shared_slots", true)
	case "accounts":
		r.LimitWindow = time.Duration(s.numberOrBlank("limit_window_s", defaultLimitWindowSeconds, 0, 1<<20) * float64(time.Second))
		r.LimitOverage = s.numberOrBlank("limit_overage", 0, 0, 1<<20)
		r.LimitSlack = s.numberOrBlank("limit_slack", 0, 0, 1<<40)
		r.RevokedWithin = time.Duration(s.numberOrBlank("revoked_within_ms", defaultRevokedWithinMS, 0, 1<<40) * float64(time.Millisecond))
		r.StrictRevocation = s.booleanOrBlank("strict_revocation", false)
	default:
		s.addProblem("", "is not a known section; expected box, callers, readiness, operators, peers, store, endpoints, engines, plain or accounts")
	}
}

// parseHalls reads the key "halls", a list of pairs "hall:region".
func parseHalls(s *section) map[string]string {
	out := map[string]string{}
	for _, text := range s.list("halls") {
		hall, region, ok := strings.Cut(text, ":")
		if !ok || hall == "" || region == "" {
			s.addProblem("halls", "expected hall:region, found %q", text)
			continue
		}
		out[hall] = region
	}
	return out
}

// parseSeeds reads the addresses of other boxes. own is the address at which this box listens for other boxes. All
// boxes use the same port for this. So the port of own replaces the ports in the list. If the port of own is 0 (any
// free port), the ports in the list stay.
func parseSeeds(s *section, own string) (out []string) {
	self, err := netip.ParseAddrPort(own)
	if err != nil {
		return nil // parseListenAddress has reported the problem.
	}
	for _, text := range s.list("seeds") {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			s.addProblem("seeds", "expected ip:port, found %q", text)
			continue
		}
		if self.Port() != 0 {
			a = netip.AddrPortFrom(a.Addr(), self.Port())
		}
		out = append(out, a.String())
	}
	return out
}
