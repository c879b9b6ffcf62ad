package quarantine

import (
	"bytes"
	"testing"
)

// Requests that differ in any part of the identity have different fingerprints. This holds even if the bytes are the
// same and only belong to other parts.
func TestFingerprint(t *testing.T) {
	first := Identity{Account: "lab", Method: "POST", Host: "h.example", Target: "/a/b?c=d", Model: "m", Body: []byte("did unit 7 pass?")}
	if again := first; again.Fingerprint() != first.Fingerprint() {
		t.Error("expected the same request to have the same fingerprint")
	}
	for name, change := range map[string]func(*Identity){
		"account":     func(i *Identity) { i.Account = "other" },
		"no account":  func(i *Identity) { i.Account = "" },
		"method":      func(i *Identity) { i.Method = "PUT" },
		"host":        func(i *Identity) { i.Host = "g.example" },
		"path":        func(i *Identity) { i.Target = "/a/x?c=d" },
		"query":       func(i *Identity) { i.Target = "/a/b?c=e" },
		"model":       func(i *Identity) { i.Model = "n" },
		"one byte":    func(i *Identity) { i.Body = []byte("did unit 8 pass?") },
		"moved bytes": func(i *Identity) { i.Model, i.Body = "mdid", []byte(" unit 7 pass?") },
	} {
		other := first
		change(&other)
		if other.Fingerprint() == first.Fingerprint() {
			t.Errorf("%s: expected another fingerprint", name)
		}
	}
}

func BenchmarkFingerprint(b *testing.B) {
	i := Identity{Account: "lab", Method: "POST", Host: "h.example", Target: "/verdicts/unit-7", Model: "m", Body: bytes.Repeat([]byte("x"), 5000)}
	for b.Loop() {
		i.Fingerprint()
	}
}
