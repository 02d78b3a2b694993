package once

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/outcome"
)

// Limits of the text of a key, in bytes.
const (
	// MaxKeyLen is the length of the longest key, issued or chosen by a caller.
	MaxKeyLen = 128
	// MaxHomeLen is the largest total length of zone name and instance id.
	MaxHomeLen = 60
)

// keyPrefix is the prefix of every issued key; it contains the format version.
const keyPrefix = "bk1."

// Sizes of the fixed-length fields of an issued key, in bytes.
const (
	expiryLen   = 8
	randomLen   = 8
	checksumLen = 4
)

// ErrNotIssued is returned by ParseKey for a text that is not an issued key.
// Such a text is a key chosen by the caller.
const ErrNotIssued = errors.ConstError("not an issued key; it is treated as chosen by the caller")

// Home identifies one incarnation of an instance. That instance has the
// authority over the keys that it issued or claimed, until it hands it over.
type Home struct {
	Zone string
	// ID is the instance id.
	ID string
	// Incarnation increases with each start of the instance.
	Incarnation uint64
}

// String returns the home in the form zone/id/incarnation.
func (h Home) String() string { return fmt.Sprintf("%s/%s/%d", h.Zone, h.ID, h.Incarnation) }

// compare orders homes by zone, id and incarnation.
func (h Home) compare(o Home) int {
	if c := strings.Compare(h.Zone, o.Zone); c != 0 {
		return c
	}
	if c := strings.Compare(h.ID, o.ID); c != 0 {
		return c
	}
	switch {
	case h.Incarnation < o.Incarnation:
		return -1
	case h.Incarnation > o.Incarnation:
		return 1
	}
	return 0
}

// Key is an issued idempotency key.
type Key struct {
	Home Home
	// Expiry is the time at which the home drops the key, by the home's clock,
	// in whole milliseconds.
	Expiry time.Time
	// Random distinguishes the keys of one home that expire at the same time.
	Random uint64
}

// NewKey returns a key of the home. It returns an error if the home has no zone
// or id, if these exceed MaxHomeLen, or if expiry is before 1970.
func NewKey(home Home, expiry time.Time, random uint64) (Key, error) {
	if home.Zone == "" || home.ID == "" {
		return Key{}, errors.New("cannot issue a key: the instance has no zone or no id; set both in the instance's settings")
	}
	if n := len(home.Zone) + len(home.ID); n > MaxHomeLen {
		return Key{}, errors.Errorf("zone %q and instance id %q have %d bytes in total; shorten them to at most %d", home.Zone, home.ID, n, MaxHomeLen)
	}
	if expiry.UnixMilli() < 0 {
		return Key{}, errors.Errorf("key expiry %v is before 1970; check the instance's clock", expiry)
	}
	return Key{Home: home, Expiry: time.UnixMilli(expiry.UnixMilli()).UTC(), Random: random}, nil
}

// String returns the text of the key. It is URL-safe and has at most MaxKeyLen
// bytes.
func (k Key) String() string {
	b := make([]byte, 0, MaxKeyLen)
	b = appendName(b, k.Home.Zone)
	b = appendName(b, k.Home.ID)
	b = binary.AppendUvarint(b, k.Home.Incarnation)
	b = binary.BigEndian.AppendUint64(b, uint64(k.Expiry.UnixMilli()))
	b = binary.BigEndian.AppendUint64(b, k.Random)
	b = binary.BigEndian.AppendUint32(b, checksum(b))
	return keyPrefix + base64.RawURLEncoding.EncodeToString(b)
}

// ParseKey parses the text of an issued key. It returns ErrNotIssued for any
// other text, including non-canonical encodings of an issued key.
func ParseKey(text string) (Key, error) {
	encoded, ok := strings.CutPrefix(text, keyPrefix)
	if !ok || len(text) > MaxKeyLen {
		return Key{}, ErrNotIssued
	}
	b, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil || len(b) < checksumLen {
		return Key{}, ErrNotIssued
	}
	body, sum := b[:len(b)-checksumLen], b[len(b)-checksumLen:]
	if binary.BigEndian.Uint32(sum) != checksum(body) {
		return Key{}, ErrNotIssued
	}
	k, ok := decodeKey(body)
	if !ok || k.String() != text {
		return Key{}, ErrNotIssued
	}
	return k, nil
}

// CheckKey returns a bad request error if the text is not a valid key, issued or
// chosen by a caller.
func CheckKey(text string) *outcome.Error {
	if text == "" || len(text) > MaxKeyLen {
		return outcome.RejectedError(outcome.KindBadRequest,
			fmt.Sprintf("send a key of 1 to %d visible ASCII characters", MaxKeyLen),
			"the idempotency key has an invalid length of %d bytes", len(text))
	}
	for i := range len(text) {
		if c := text[i]; c <= ' ' || c > '~' {
			return outcome.RejectedError(outcome.KindBadRequest,
				"send a key of visible ASCII characters without spaces",
				"the idempotency key has an invalid character at byte %d", i)
		}
	}
	return nil
}

// appendName appends a name, preceded by its length in one byte.
func appendName(b []byte, name string) []byte {
	return append(append(b, byte(len(name))), name...)
}

func checksum(b []byte) uint32 { return uint32(xxhash.Sum64(b)) }

// decodeKey decodes the fields of an issued key. ok is false if a field is
// invalid or if bytes are missing or left over.
func decodeKey(b []byte) (k Key, ok bool) {
	if k.Home.Zone, b, ok = cutName(b); !ok {
		return Key{}, false
	}
	if k.Home.ID, b, ok = cutName(b); !ok {
		return Key{}, false
	}
	inc, n := binary.Uvarint(b)
	if n <= 0 || len(b) != n+expiryLen+randomLen {
		return Key{}, false
	}
	b = b[n:]
	ms := binary.BigEndian.Uint64(b)
	if int64(ms) < 0 || len(k.Home.Zone)+len(k.Home.ID) > MaxHomeLen {
		return Key{}, false
	}
	k.Home.Incarnation = inc
	k.Expiry = time.UnixMilli(int64(ms)).UTC()
	k.Random = binary.BigEndian.Uint64(b[expiryLen:])
	return k, true
}

// cutName decodes a name written by appendName and returns the remaining bytes.
func cutName(b []byte) (name string, rest []byte, ok bool) {
	if len(b) == 0 {
		return "", nil, false
	}
	n := int(b[0])
	if n == 0 || len(b) < 1+n {
		return "", nil, false
	}
	return string(b[1 : 1+n]), b[1+n:], true
}

// Fingerprint is a hash of a request without its key. It detects the use of one
// key for different requests.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request. It covers the method, the
// path with the query, and the body.
func FingerprintOf(method, path string, body []byte) Fingerprint {
	d := xxhash.New()
	// Writing to an xxhash digest never fails.
	_, _ = d.WriteString(method)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(path)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}
