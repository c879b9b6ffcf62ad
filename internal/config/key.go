package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// KeyDigest returns the form in which keys are stored: the hex SHA-256.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// KeyMatches compares a key with a stored digest in constant time.
func KeyMatches(key, digest string) bool {
	return subtle.ConstantTimeCompare([]byte(KeyDigest(key)), []byte(digest)) == 1
}
