// Package credential represents the keys by which callers show their client accounts. A key
// is replaced by a digest where it is read, so that nothing else sees it.
package credential

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"sync"
)

// digestKey separates the digests from other uses of the hash. It is the same at all
// instances, which compare digests with each other.
const digestKey = "banyandeal/credential/1"

// Digest stands for a key. Equal keys have the same digest at all instances.
type Digest [16]byte

// hashes holds hashes for reuse, since a new one derives its state from digestKey.
var hashes = sync.Pool{New: func() any { return hmac.New(sha256.New, []byte(digestKey)) }}

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	h := hashes.Get().(hash.Hash)
	defer hashes.Put(h)
	h.Reset()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(key))
	var sum [sha256.Size]byte
	var d Digest
	copy(d[:], h.Sum(sum[:0]))
	return d
}

// State says whether a request carries a key. The zero value is Absent.
type State uint8

// States.
const (
	// Absent means that the request names no credentials.
	Absent State = iota
	// Malformed means that it names credentials that are no key, or several.
	Malformed
	// Present means that it carries one key.
	Present
)

// String returns the name of the state in logs.
func (s State) String() string { return [...]string{"absent", "malformed", "present"}[s] }

// Credential is what a request says of the client account of its caller.
type Credential struct {
	State State
	// Digest is that of the key, or of whatever the request names instead. It is zero if
	// State is Absent.
	Digest Digest
}
