package config

import (
	"net/netip"
	"strings"
	"time"
)

// Role is what an endpoint (a back end) does.
type Role uint8

// The roles of endpoints.
const (
	RolePrefill Role = iota
	RoleDecode
	RoleService
)

var roleNames = [...]string{"prefill", "decode", "service"}

func (r Role) String() string { return roleNames[r] }

// Shared is one accepted version of the configuration that all gateway boxes have in common. After it has been parsed,
// it is never modified. So requests read it without a lock.
type Shared struct {
	// Version is the version of the configuration's row in the platform's table. It only increases.
	Version int64
	Text    string

	Pools     []*Pool
	Endpoints []*Endpoint
	Routes    []*Route
	Services  []*Service
	Policies  []*Policy

	clients map[string]*Client // The clients, by the hex SHA-256 of their keys.
	Clients []*Client
}

// Pool is a set of engines that serve the same model.
type Pool struct {
	Name  string
	Model string
	// KVBytesPerToken is the size of the KV cache of one token, from which the time of a transfer is predicted.
	KVBytesPerToken int
	// PrefillExpiry is how long a prefill engine keeps a prompt's KV cache for the decode engine.
	PrefillExpiry time.Duration
}

// Endpoint is one back end: an engine of a pool (a language model), or a process of a plain service.
type Endpoint struct {
	Name    string
	Pool    string // Empty for an endpoint of a plain service.
	Service string // Empty for an engine.
	Role    Role
	Address string // ip:port
	Region  string
	Hall    string
	Leaving bool

	// PrefillRate is how many prompt tokens per second a prefill engine processes.
	PrefillRate float64
	// KVTokens is how many tokens the engine's memory for KV caches holds.
	KVTokens int
	// Step and StepPerStream predict a decode engine's time from one token to the next. The predicted time is Step,
	// plus StepPerStream for each running stream.
	Step          time.Duration
	StepPerStream time.Duration
	// LinkRate is the rate of the engine's network link in bytes per second.
	LinkRate float64
}

// Route assigns latency targets and a policy to requests for one model.
type Route struct {
	Name   string
	Model  string
	Policy string
	// FirstToken and BetweenTokens are the latency targets: the time until the first token, and from token to token.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// MaxTokens is the maximum length of an answer for requests that set no limit of their own.
	MaxTokens int
	// Repeatable is false if every request of the route may run at most once.
	Repeatable bool
	// ServeLate means that a request which is predicted to miss the FirstToken target is served instead of refused.
	ServeLate bool
	// Priority is passed to the engines, which serve lower values first.
	Priority int
}

// Service routes the requests whose path has a certain prefix to the endpoints of a plain service.
type Service struct {
	Name   string
	Prefix string
	// RepeatableMethods are the HTTP methods whose calls may be retried. A call with any other method runs at most
	// one time.
	RepeatableMethods []string
	Timeout           time.Duration
}

// Client is one customer with its limits. A limit of 0 means that there is no limit.
type Client struct {
	Name       string
	KeySHA256  string
	Requests   float64 // Limit on requests per second.
	Burst      int
	Tokens     float64 // Limit on tokens per second, counting prompts and answers.
	TokenBurst int
	// Weight is the share of the client relative to other clients, where requests compete for capacity.
	Weight float64
	// Allow lists the routes and services that the client may use; empty means all of them.
	Allow []string
}

// Policy is an operator's program that takes part in routing, with its test cases.
type Policy struct {
	Name    string
	Program string
	Cases   string
}

// ParseShared parses and validates a shared configuration. checkPolicy validates each policy. If checkPolicy is nil,
// this check is skipped. checkPolicy is a parameter so that this package does not depend on the policy language.
func ParseShared(file string, text []byte, checkPolicy func(*Policy) error) (*Shared, error) {
	d, err := openDocument(file, text)
	if err != nil {
		return nil, err
	}
	c := &Shared{Text: string(text), clients: map[string]*Client{}}
	var all []*section
	for _, s := range d.sections() {
		all = append(all, s)
		c.parseSection(s, checkPolicy)
		s.reportUnknownKeys()
	}
	c.checkReferences(d, all)
	if err := d.err(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Shared) parseSection(s *section, checkPolicy func(*Policy) error) {
	if !validName(s.Name) {
		s.addProblem("", "expected [%s NAME] with a name of letters, digits and dashes", s.Kind)
	}
	switch s.Kind {
	case "pool":
		c.Pools = append(c.Pools, parsePool(s))
	case "endpoint":
		c.Endpoints = append(c.Endpoints, parseEndpoint(s))
	case "route":
		c.Routes = append(c.Routes, parseRoute(s))
	case "service":
		c.Services = append(c.Services, parseService(s))
	case "client":
		c.addClient(s)
	case "policy":
		c.Policies = append(c.Policies, parsePolicy(s, checkPolicy))
	default:
		s.addProblem("", "is not a known section; expected pool, endpoint, route, service, client or policy")
	}
}

func parsePolicy(s *section, check func(*Policy) error) *Policy {
	p := &Policy{Name: s.Name, Program: s.required("program", "the program's text"), Cases: s.str("cases", "")}
	if check != nil && p.Program != "" {
		if err := check(p); err != nil {
			s.addProblem("program", "%v", err)
		}
	}
	return p
}

func parsePool(s *section) *Pool {
	return &Pool{
		Name:            s.Name,
		Model:           s.str("model", s.Name),
		KVBytesPerToken: s.integer("kv_bytes_per_token", 131072, 1, 1<<30),
		PrefillExpiry:   s.duration("prefill_expiry", 5*time.Second, 100*time.Millisecond, time.Hour),
	}
}

func parseEndpoint(s *section) *Endpoint {
	e := &Endpoint{
		Name:          s.Name,
		Pool:          s.str("pool", ""),
		Service:       s.str("service", ""),
		Address:       s.required("address", "ip:port"),
		Region:        s.required("region", "the region's name"),
		Hall:          s.required("hall", "the data hall's name"),
		Leaving:       s.boolean("leaving", false),
		PrefillRate:   s.number("prefill_rate", 20000, 1, 1e9),
		KVTokens:      s.integer("kv_tokens", 200000, 1, 1<<40),
		Step:          s.duration("step", 8*time.Millisecond, time.Microsecond, time.Second),
		StepPerStream: s.duration("step_per_stream", 250*time.Microsecond, 0, time.Second),
		LinkRate:      s.number("link_rate", 12.5e9, 1, 1e15),
	}
	if _, err := netip.ParseAddrPort(e.Address); e.Address != "" && err != nil {
		s.addProblem("address", "expected ip:port, found %q", e.Address)
	}
	if (e.Pool == "") == (e.Service == "") {
		s.addProblem("pool", "expected either pool or service")
	}
	switch role := s.str("role", "service"); {
	case role == "prefill" && e.Pool != "":
		e.Role = RolePrefill
	case role == "decode" && e.Pool != "":
		e.Role = RoleDecode
	case role == "service" && e.Service != "":
		e.Role = RoleService
	default:
		s.addProblem("role", "expected prefill or decode for an engine, service for a service, found %q", role)
	}
	return e
}

func parseRoute(s *section) *Route {
	r := &Route{
		Name:          s.Name,
		Model:         s.required("model", "a pool's model"),
		Policy:        s.str("policy", ""),
		FirstToken:    s.duration("first_token", 430*time.Millisecond, time.Millisecond, time.Hour),
		BetweenTokens: s.duration("between_tokens", 27*time.Millisecond, time.Millisecond, time.Minute),
		MaxTokens:     s.integer("max_tokens", 512, 1, 1<<20),
		Repeatable:    s.boolean("repeatable", true),
		Priority:      s.integer("priority", 0, -1000, 1000),
	}
	switch late := s.str("late", "refuse"); late {
	case "refuse":
	case "serve":
		r.ServeLate = true
	default:
		s.addProblem("late", "expected refuse or serve, found %q", late)
	}
	return r
}

func parseService(s *section) *Service {
	v := &Service{
		Name:              s.Name,
		Prefix:            s.required("prefix", "a path such as /bookings/"),
		RepeatableMethods: s.list("repeatable"),
		Timeout:           s.duration("timeout", time.Minute, time.Millisecond, 24*time.Hour),
	}
	if v.Prefix != "" && (!strings.HasPrefix(v.Prefix, "/") || v.Prefix == "/" || strings.HasPrefix(v.Prefix, "/v1/")) {
		s.addProblem("prefix", "expected a path that starts with / and is neither / nor below /v1/, found %q", v.Prefix)
	}
	return v
}

func (c *Shared) addClient(s *section) {
	v := &Client{
		Name:       s.Name,
		KeySHA256:  parseDigest(s, "key_sha256"),
		Requests:   s.number("requests", 0, 0, 1e9),
		Burst:      s.integer("burst", 0, 0, 1<<30),
		Tokens:     s.number("tokens", 0, 0, 1e12),
		TokenBurst: s.integer("token_burst", 0, 0, 1<<40),
		Weight:     parseWeight(s),
		Allow:      s.list("allow"),
	}
	if other, ok := c.clients[v.KeySHA256]; ok {
		s.addProblem("key_sha256", "is also the key of client %s", other.Name)
	}
	c.clients[v.KeySHA256] = v
	c.Clients = append(c.Clients, v)
}

// parseWeight reads the weight of a client.
func parseWeight(s *section) float64 { return s.number("weight", 1, 0.01, 1000) }

// checkReferences reports references to sections that do not exist, and models or addresses that are used twice.
func (c *Shared) checkReferences(d *document, all []*section) {
	known := map[string]bool{}
	models := map[string]bool{}
	addresses := map[string]string{}
	for _, s := range all {
		known[s.Kind+" "+s.Name] = true
	}
	for _, p := range c.Pools {
		if models[p.Model] {
			d.addProblem("pool "+p.Name, "model", "another pool serves %q already", p.Model)
		}
		models[p.Model] = true
	}
	for _, e := range c.Endpoints {
		c.checkEndpoint(d, e, known, addresses)
	}
	for _, r := range c.Routes {
		if !models[r.Model] {
			d.addProblem("route "+r.Name, "model", "no pool serves %q", r.Model)
		}
		if r.Policy != "" && !known["policy "+r.Policy] {
			d.addProblem("route "+r.Name, "policy", "no section [policy %s]", r.Policy)
		}
	}
	for _, v := range c.Clients {
		for _, name := range v.Allow {
			if !known["route "+name] && !known["service "+name] {
				d.addProblem("client "+v.Name, "allow", "no section [route %s] or [service %s]", name, name)
			}
		}
	}
}

func (c *Shared) checkEndpoint(d *document, e *Endpoint, known map[string]bool, addresses map[string]string) {
	if e.Pool != "" && !known["pool "+e.Pool] {
		d.addProblem("endpoint "+e.Name, "pool", "no section [pool %s]", e.Pool)
	}
	if e.Service != "" && !known["service "+e.Service] {
		d.addProblem("endpoint "+e.Name, "service", "no section [service %s]", e.Service)
	}
	if other, ok := addresses[e.Address]; ok {
		d.addProblem("endpoint "+e.Name, "address", "is also the address of endpoint %s", other)
	}
	addresses[e.Address] = e.Name
}

// ClientByKey returns the client whose key has the hex SHA-256 sum; nil if there is none.
func (c *Shared) ClientByKey(sum string) *Client { return c.clients[sum] }

// RouteFor returns the first route for the model that the client may use. It returns nil if the client may use none.
// The bool reports whether there is any route for the model, also one that the client may not use.
func (c *Shared) RouteFor(model string, v *Client) (*Route, bool) {
	found := false
	for _, r := range c.Routes {
		if r.Model != model {
			continue
		}
		found = true
		if v.MayUse(r.Name) {
			return r, true
		}
	}
	return nil, found
}

// ServiceFor returns the service whose prefix matches the path; nil if there is none. The longest prefix wins.
func (c *Shared) ServiceFor(path string) *Service {
	var best *Service
	for _, s := range c.Services {
		if strings.HasPrefix(path, s.Prefix) && (best == nil || len(s.Prefix) > len(best.Prefix)) {
			best = s
		}
	}
	return best
}

// PoolByModel returns the pool that serves the model; nil if there is none.
func (c *Shared) PoolByModel(model string) *Pool {
	for _, p := range c.Pools {
		if p.Model == model {
			return p
		}
	}
	return nil
}

// MayUse reports whether the client may use the route or service.
func (v *Client) MayUse(name string) bool {
	if len(v.Allow) == 0 {
		return true
	}
	for _, a := range v.Allow {
		if a == name {
			return true
		}
	}
	return false
}

// IsRepeatable reports whether a call with this method may be retried.
func (s *Service) IsRepeatable(method string) bool {
	for _, m := range s.RepeatableMethods {
		if m == method {
			return true
		}
	}
	return false
}
