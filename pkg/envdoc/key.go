package envdoc

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"encoding/hex"
	"strings"
)

// KeyHash is the SHA-256 hash of a key, written as "sha256:" and 64 hexadecimal
// digits. Keys are random, so the hash needs no salt.
type KeyHash string

const (
	hashPrefix = "sha256:"
	keyPrefix  = "mk_"
	keyBytes   = 20
)

// NewKey returns a random key of 160 bits.
func NewKey() string {
	var b [keyBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return keyPrefix + strings.ToLower(base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(b[:]))
}

// HashKey returns the hash that represents key in a document.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hashPrefix + hex.EncodeToString(sum[:]))
}

// Valid reports whether h has the format that HashKey returns.
func (h KeyHash) Valid() bool {
	digits, ok := strings.CutPrefix(string(h), hashPrefix)
	if !ok || len(digits) != 2*sha256.Size {
		return false
	}
	_, err := hex.DecodeString(digits)
	return err == nil && strings.ToLower(digits) == digits
}

// Equal compares two hashes in constant time.
func (h KeyHash) Equal(o KeyHash) bool {
	return subtle.ConstantTimeCompare([]byte(h), []byte(o)) == 1
}
