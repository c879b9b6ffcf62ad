package config

import (
	"fmt"
	"net/netip"
	"os"
	"time"
)

// Box holds the settings of one gateway box. A box is a machine that runs the router. A gateway box reads its routes
// and endpoints from the configuration in Shared. The settings are read once, when the box starts.
type Box struct {
	// Name is unique among the running boxes. Each request id starts with the name of the box that received the
	// request.
	Name   string
	Region string
	Hall   string

	// Callers is the listen address for callers. Operators is the listen address for operators, metrics and the other
	// boxes. Both are "ip:port"; port 0 selects any free port.
	Callers   string
	Operators string
	// OperatorKeySHA256 is the hex SHA-256 of the key with which operators authenticate.
	OperatorKeySHA256 string

	CallerTLS   TLSFiles
	OperatorTLS TLSFiles

	// PeerKey is the key with which boxes authenticate to each other; empty means that the box runs alone.
	PeerKey string

	// Platform is the base URL of the platform's table service and object store, which all boxes share.
	Platform    string
	PlatformKey string

	// MaxBody is the maximum size in bytes of a request body that is buffered to choose an engine.
	MaxBody int64
	// HeaderTimeout bounds reading a request line and its headers. BodyTimeout bounds reading a body that is buffered.
	// WriteTimeout bounds one write to a caller.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	WriteTimeout  time.Duration
	// Queue is the maximum number of requests on this box that wait for an engine.
	Queue int
	// DrainTimeout bounds a planned stop. Streams that still run after this time are cut off and logged.
	DrainTimeout time.Duration
}

// TLSFiles are the paths of a certificate file and its key file. If both are empty, connections are not encrypted.
type TLSFiles struct{ Cert, Key string }

// LoadBox reads and validates a box's settings file.
func LoadBox(file string) (*Box, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return ParseBox(file, text)
}

// ParseBox parses and validates the text of a box's settings.
func ParseBox(file string, text []byte) (*Box, error) {
	d, err := openDocument(file, text)
	if err != nil {
		return nil, err
	}
	b := &Box{}
	seen := map[string]bool{}
	for _, s := range d.sections() {
		seen[s.Kind] = true
		b.parseSection(s)
		s.reportUnknownKeys()
	}
	for _, kind := range []string{"box", "callers", "operators", "platform"} {
		if !seen[kind] {
			d.addProblem(kind, "", "the section is missing")
		}
	}
	if err := d.err(); err != nil {
		return nil, err
	}
	return b, nil
}

func (b *Box) parseSection(s *section) {
	switch s.Kind {
	case "box":
		b.Name = s.required("name", "the box's name")
		b.Region = s.required("region", "the region's name")
		b.Hall = s.required("hall", "the data hall's name")
		b.Queue = s.integer("queue", 1024, 1, 1<<20)
		b.DrainTimeout = s.duration("drain_timeout", 10*time.Minute, time.Second, 24*time.Hour)
		if !validName(b.Name) {
			s.addProblem("name", "expected letters, digits and dashes, found %q", b.Name)
		}
	case "callers":
		b.Callers = parseListenAddress(s)
		b.CallerTLS = parseTLSFiles(s)
		b.MaxBody = int64(s.integer("max_body", 8<<20, 1024, 1<<30))
		b.HeaderTimeout = s.duration("header_timeout", 5*time.Second, 100*time.Millisecond, time.Minute)
		b.BodyTimeout = s.duration("body_timeout", 30*time.Second, 100*time.Millisecond, time.Hour)
		b.WriteTimeout = s.duration("write_timeout", 10*time.Second, 100*time.Millisecond, time.Hour)
	case "operators":
		b.Operators = parseListenAddress(s)
		b.OperatorTLS = parseTLSFiles(s)
		b.OperatorKeySHA256 = parseDigest(s, "key_sha256")
	case "peers":
		b.PeerKey = s.required("key", "the key that all boxes share")
	case "platform":
		b.Platform = s.required("url", "the base URL of the platform's services")
		b.PlatformKey = s.str("key", "")
	default:
		s.addProblem("", "is not a known section; expected box, callers, operators, peers or platform")
	}
}

func parseListenAddress(s *section) string {
	v := s.required("listen", "ip:port")
	if v == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		s.addProblem("listen", "expected ip:port, found %q", v)
	}
	return v
}

func parseTLSFiles(s *section) TLSFiles {
	f := TLSFiles{Cert: s.str("tls_cert", ""), Key: s.str("tls_key", "")}
	if (f.Cert == "") != (f.Key == "") {
		s.addProblem("tls_cert", "expected tls_cert and tls_key together, found one of them")
	}
	return f
}

func parseDigest(s *section, key string) string {
	v := s.required(key, "the hex SHA-256 of a key")
	if v != "" && !isDigest(v) {
		s.addProblem(key, "expected 64 hex digits, found %d characters", len(v))
	}
	return v
}

func isDigest(v string) bool {
	if len(v) != 64 {
		return false
	}
	for _, c := range v {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

func validName(v string) bool {
	for _, c := range v {
		ok := c == '-' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !ok {
			return false
		}
	}
	return v != ""
}
