package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
)

// Part identifies a part of a prompt that other prompts may share. It covers the model and the part itself. It does not
// cover the parts before it, because a part that crashes engines does so in any prompt.
type Part [8]byte

// NewPart returns the part with an ID in prompts for a model.
func NewPart(model, id string) (p Part) {
	h := sha256.New()
	_, _ = h.Write([]byte(model))
	_, _ = h.Write([]byte{0}) // Neither text contains a zero byte, since both come from headers.
	_, _ = h.Write([]byte(id))
	copy(p[:], h.Sum(nil))
	return p
}

func (p Part) String() string { return hex.EncodeToString(p[:]) }

// ParsePart parses the text that String returns.
func ParsePart(text string) (p Part, ok bool) {
	ok = decodeHex(p[:], text)
	return p, ok
}
