package configuration

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyHash is the SHA-256 of a key's secret. The zero value means that a request
// has no key.
type KeyHash [sha256.Size]byte

// NewKeyHash returns the hash of a request's secret, or the zero value if the
// secret is empty.
func NewKeyHash(secret string) KeyHash {
	if secret == "" {
		return KeyHash{}
	}
	return sha256.Sum256([]byte(secret))
}

// String returns the hash in hexadecimal, the form that a document holds.
func (h KeyHash) String() string { return hex.EncodeToString(h[:]) }

func parseKeyHash(s string) (KeyHash, bool) {
	data, err := hex.DecodeString(s)
	if err != nil || len(data) != sha256.Size {
		return KeyHash{}, false
	}
	return KeyHash(data), true
}

// HexKeyHash returns the SHA-256 of a secret in hexadecimal, the form in which a
// document stores it.
func HexKeyHash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
