// Package quarantine records the requests under which endpoints crashed, and decides which requests must not be sent
// to another endpoint. A request that crashes endpoints is sent again under other request ids and through other boxes.
// So a request is identified by what an endpoint would run (Fingerprint). All boxes share the crashes through a table
// of the platform's store, with one row for each crash. That table may be restored from an older copy, which lacks
// the latest crashes.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a request. It is the same at every box and for every try of the request.
type Fingerprint [16]byte

func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the text that String returns.
func ParseFingerprint(text string) (f Fingerprint, ok bool) {
	ok = decodeHex(f[:], text)
	return f, ok
}

// decodeHex decodes hexadecimal digits into dst. It returns false, and leaves dst as it is, if the text does not fill dst
// exactly.
func decodeHex(dst []byte, text string) bool {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(dst) {
		return false
	}
	copy(dst, b)
	return true
}

// Identity is the part of a request that its fingerprint covers. If two bodies differ in one byte, the requests are
// different. The same body from another client account is another request too.
type Identity struct {
	// Account is the client account. It is empty for a request without an account. The caller's address is left out:
	// the same request may come from another address, through another load balancer or in another hall.
	Account string
	Method  string
	Host    string // Without a port.
	Target  string // Path and query, as in the request.
	Model   string
	Body    []byte
}

// Fingerprint returns the hash of the identity. It takes the time of SHA-256 over the body: about 5 µs for 5 KB
// (BenchmarkFingerprint).
func (i *Identity) Fingerprint() (f Fingerprint) {
	h := sha256.New()
	writePart := func(b []byte) { // The length comes first, so that no byte can move into the next part.
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(b))))
		_, _ = h.Write(b)
	}
	for _, s := range []string{i.Account, i.Method, i.Host, i.Target, i.Model} {
		writePart([]byte(s))
	}
	writePart(i.Body)
	copy(f[:], h.Sum(nil))
	return f
}

// Tag shortens the name of a caller or the id of a try to a hash. Logs and table rows then tell callers and tries apart
// without naming them.
func Tag(text string) string {
	h := sha256.Sum256([]byte(text))
	return hex.EncodeToString(h[:4])
}
