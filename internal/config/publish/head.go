// Package publish carries accepted configurations through the platform and
// between instances.
//
// The table row HeadRow names the version in force by the digests of its
// manifest and of the delta that led to it; the object store holds these and
// the parts of the estate. Applier moves the head by compare-and-set, Receiver
// follows it. Both are pure state machines: they ask for reads and writes by
// their Ready methods, are told the results, and do no I/O themselves. Apply
// and Runner do it for them.
package publish

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// HeadRow is the table row that names the version in force.
const HeadRow = "config/head"

// Head is the value of HeadRow, and what instances tell each other of it.
type Head struct {
	// Version is that of the row; it only rises.
	Version uint64 `json:"version"`
	// Root is the root digest of the content.
	Root config.Digest `json:"root"`
	// Manifest is the digest of the full manifest.
	Manifest config.Digest `json:"manifest"`
	// Delta is the digest of the delta from the version before; empty for the
	// first version.
	Delta    config.Digest `json:"delta,omitempty"`
	ChangeID string        `json:"change_id"`
	Author   string        `json:"author"`
	Note     string        `json:"note,omitempty"`
	Time     time.Time     `json:"time"`
}

// same reports whether two heads name the same version and content.
func (h Head) same(other Head) bool {
	return h.Version == other.Version && h.Root == other.Root && h.Manifest == other.Manifest && h.Delta == other.Delta
}

// Encode returns the head as JSON.
func (h Head) Encode() ([]byte, error) {
	data, err := json.Marshal(h)
	return data, errors.Annotate(err, "encode the head")
}

// DecodeHead reads what Encode wrote.
func DecodeHead(data []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(data, &h); err != nil {
		return Head{}, errors.Trace(&config.Error{
			Kind: config.KindCorrupt, Path: HeadRow, Message: err.Error(),
			Remedy: "ask another source for the head",
		})
	}
	if h.Version == 0 || !h.Root.Valid() || !h.Manifest.Valid() || (h.Delta != "" && !h.Delta.Valid()) {
		return Head{}, errors.Trace(&config.Error{
			Kind: config.KindCorrupt, Path: HeadRow, Message: "the head has no version, or its digests are malformed",
			Remedy: "ask another source for the head",
		})
	}
	return h, nil
}

// headOf reads the head from its row, which need not exist.
func headOf(row platform.Row) (Head, error) {
	if row.Version == 0 {
		return Head{}, nil
	}
	h, err := DecodeHead(row.Value)
	if err == nil && h.Version != row.Version {
		err = errors.Trace(&config.Error{
			Kind: config.KindCorrupt, Path: HeadRow, Message: "the head's version is not that of its row",
			Remedy: "apply the configuration again; nothing but banyanctl apply may write the row",
		})
	}
	return h, err
}
