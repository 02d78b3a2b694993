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

// Limits of key texts, in bytes.
const (
	// MaxKeyLen is the longest key, issued or chosen by a caller.
	MaxKeyLen = 128
	// MaxHomeLen is the longest zone name and instance id together.
	MaxHomeLen = 60
)

// keyPrefix starts each issued key and names the version of the format.
const keyPrefix = "bk1."

// Sizes in bytes of the fixed parts of an issued key.
const (
	expiryLen   = 8
	randomLen   = 8
	checksumLen = 4
)

// ErrNotIssued is returned by ParseKey for a text that no instance has issued.
// Such a text is a key chosen by the caller.
const ErrNotIssued = errors.ConstError("not an issued key; it is treated as chosen by the caller")

// Home names one run of an instance, which is the authority of the keys that
// it issued or claimed.
type Home struct {
	Zone        string
	ID          string
	Incarnation uint64
}

// String returns the home as it stands in logs and claims.
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
	// Expiry is when the home forgets the key, by the home's own clock, in
	// whole milliseconds.
	Expiry time.Time
	// Random tells the keys of one home apart.
	Random uint64
}

// NewKey returns a key of the home. The caller supplies the random part.
func NewKey(home Home, expiry time.Time, random uint64) (Key, error) {
	if home.Zone == "" || home.ID == "" {
		return Key{}, errors.New("a key needs the zone and id of its home; set both in the instance's settings")
	}
	if n := len(home.Zone) + len(home.ID); n > MaxHomeLen {
		return Key{}, errors.Errorf("zone %q and instance id %q are %d bytes together; shorten them to %d", home.Zone, home.ID, n, MaxHomeLen)
	}
	if expiry.UnixMilli() < 0 {
		return Key{}, errors.Errorf("expiry %v is before 1970; check the instance's clock", expiry)
	}
	return Key{Home: home, Expiry: time.UnixMilli(expiry.UnixMilli()).UTC(), Random: random}, nil
}

// String returns the key's text: URL-safe and at most MaxKeyLen bytes.
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

// ParseKey returns the issued key of a text, or ErrNotIssued. Each key has one
// text: any other spelling of it is not issued.
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

// CheckKey returns a bad request error for a text that cannot be a key.
func CheckKey(text string) *outcome.Error {
	if text == "" || len(text) > MaxKeyLen {
		return outcome.RejectedError(outcome.KindBadRequest,
			fmt.Sprintf("send a key of 1 to %d visible ASCII characters", MaxKeyLen),
			"the idempotency key has %d bytes", len(text))
	}
	for i := range len(text) {
		if c := text[i]; c <= ' ' || c > '~' {
			return outcome.RejectedError(outcome.KindBadRequest,
				"send a key of visible ASCII characters without blanks",
				"byte %d of the idempotency key is not allowed", i)
		}
	}
	return nil
}

func appendName(b []byte, name string) []byte {
	return append(append(b, byte(len(name))), name...)
}

func checksum(b []byte) uint32 { return uint32(xxhash.Sum64(b)) }

// decodeKey reads the parts of an issued key; ok is false when they don't
// fill the bytes exactly.
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

// Fingerprint identifies a request apart from its key.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request: its method, its path
// with the query, and its body.
func FingerprintOf(method, path string, body []byte) Fingerprint {
	d := xxhash.New()
	// A digest never fails to write.
	_, _ = d.WriteString(method)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(path)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}
