package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// KeyDigest returns the hex SHA-256 of a key. Configurations contain this digest instead of the key.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// KeyMatches reports whether a key has the given digest. It compares in constant time.
func KeyMatches(key, digest string) bool {
	return subtle.ConstantTimeCompare([]byte(KeyDigest(key)), []byte(digest)) == 1
}
