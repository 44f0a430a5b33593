package fleet

import (
	"crypto/sha256"
	"encoding/base64"

	"trefoilferry.example/ferry/pkg/failure"
)

// KeyDigest is the SHA-256 digest of a caller's key. Daemons keep and compare digests only, so that a key shows in no log
// line, message or memory dump, and the time of a comparison tells nothing about a key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String returns the beginning of the digest, by which operators can tell keys apart.
func (d KeyDigest) String() string { return base64.RawURLEncoding.EncodeToString(d[:6]) }

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) {
	return []byte(base64.RawStdEncoding.EncodeToString(d[:])), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. Errors have code RecordInvalid.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	data, err := base64.RawStdEncoding.DecodeString(string(text))
	if err != nil || len(data) != len(d) {
		return failure.New(failure.RecordInvalid, failure.NotRun, "the text is not the digest of a key")
	}
	copy(d[:], data)
	return nil
}
