package config

import (
	"fmt"
	"net/netip"
	"os"
	"time"
)

// Box holds the settings of one box, read once at start.
type Box struct {
	// Name is unique among the live boxes; it begins every request id of this box.
	Name   string
	Region string
	Hall   string

	// Callers is the address callers reach; Operators serves operators and
	// metrics only. Both are "ip:port"; port 0 takes any free one.
	Callers   string
	Operators string
	// OperatorKeySHA256 is the hex SHA-256 of the operators' key.
	OperatorKeySHA256 string

	CallerTLS   TLSFiles
	OperatorTLS TLSFiles

	// Platform is the base URL of the table and object services.
	// PeerKey is what boxes show each other; empty means that the box has no peers.
	PeerKey string

	Platform    string
	PlatformKey string

	// MaxBody bounds a request body that the decision must hold, in bytes.
	MaxBody int64
	// HeaderTimeout bounds reading the request line and headers, BodyTimeout a
	// body that is held, WriteTimeout one write to a caller.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	WriteTimeout  time.Duration
	// Queue bounds the requests that wait for engines on this box.
	Queue int
	// DrainTimeout bounds a planned stop; a stream that outlives it is cut and named in the log.
	DrainTimeout time.Duration
}

// TLSFiles names a certificate and its key; both empty means plain TCP.
type TLSFiles struct{ Cert, Key string }

// LoadBox reads and checks a box's settings file.
func LoadBox(file string) (*Box, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return ParseBox(file, text)
}

// ParseBox checks the text of a box's settings.
func ParseBox(file string, text []byte) (*Box, error) {
	d, err := openDocument(file, text)
	if err != nil {
		return nil, err
	}
	b := &Box{}
	seen := map[string]bool{}
	for _, s := range d.sections() {
		seen[s.Kind] = true
		b.section(s)
		s.done()
	}
	for _, kind := range []string{"box", "callers", "operators", "platform"} {
		if !seen[kind] {
			d.problem(kind, "", "the section is missing")
		}
	}
	if err := d.err(); err != nil {
		return nil, err
	}
	return b, nil
}

func (b *Box) section(s *section) {
	switch s.Kind {
	case "box":
		b.Name = s.need("name", "the box's name")
		b.Region = s.need("region", "the region's name")
		b.Hall = s.need("hall", "the data hall's name")
		b.Queue = s.integer("queue", 1024, 1, 1<<20)
		b.DrainTimeout = s.duration("drain_timeout", 10*time.Minute, time.Second, 24*time.Hour)
		if !validName(b.Name) {
			s.problem("name", "expected letters, digits and dashes, found %q", b.Name)
		}
	case "callers":
		b.Callers = listenAddress(s)
		b.CallerTLS = tlsFiles(s)
		b.MaxBody = int64(s.integer("max_body", 8<<20, 1024, 1<<30))
		b.HeaderTimeout = s.duration("header_timeout", 5*time.Second, 100*time.Millisecond, time.Minute)
		b.BodyTimeout = s.duration("body_timeout", 30*time.Second, 100*time.Millisecond, time.Hour)
		b.WriteTimeout = s.duration("write_timeout", 10*time.Second, 100*time.Millisecond, time.Hour)
	case "operators":
		b.Operators = listenAddress(s)
		b.OperatorTLS = tlsFiles(s)
		b.OperatorKeySHA256 = digest(s, "key_sha256")
	case "peers":
		b.PeerKey = s.need("key", "the key that all boxes share")
	case "platform":
		b.Platform = s.need("url", "the base URL of the platform's services")
		b.PlatformKey = s.str("key", "")
	default:
		s.problem("", "is not a known section; expected box, callers, operators, peers or platform")
	}
}

func listenAddress(s *section) string {
	v := s.need("listen", "ip:port")
	if v == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		s.problem("listen", "expected ip:port, found %q", v)
	}
	return v
}

func tlsFiles(s *section) TLSFiles {
	f := TLSFiles{Cert: s.str("tls_cert", ""), Key: s.str("tls_key", "")}
	if (f.Cert == "") != (f.Key == "") {
		s.problem("tls_cert", "expected tls_cert and tls_key together, found one of them")
	}
	return f
}

func digest(s *section, key string) string {
	v := s.need(key, "the hex SHA-256 of a key")
	if v != "" && !isDigest(v) {
		s.problem(key, "expected 64 hex digits, found %d characters", len(v))
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
