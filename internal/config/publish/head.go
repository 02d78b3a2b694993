// Package publish distributes accepted configurations through the platform and
// between instances.
//
// The table row HeadRow names the version in force by the digests of its
// manifest and of the delta that led to it; the object store holds these and
// the parts of the estate. An Applier moves the head by compare-and-set and a
// Receiver follows it. Both are state machines that do no I/O: their Ready
// methods request reads and writes, and the caller reports the results. Apply
// drives an Applier and Runner drives a Receiver.
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

// Head is the value of HeadRow. Instances also exchange it to announce the
// version that they have in force.
type Head struct {
	// Version is the version of the row; it only increases.
	Version uint64 `json:"version"`
	// Root is the root digest of the content.
	Root config.Digest `json:"root"`
	// Manifest is the digest of the full manifest.
	Manifest config.Digest `json:"manifest"`
	// Delta is the digest of the delta from the previous version; empty for the
	// first version.
	Delta config.Digest `json:"delta,omitempty"`
	// ChangeID is the unique id of the change that created the version.
	ChangeID string `json:"change_id"`
	// Author is the operator who applied the change.
	Author string `json:"author"`
	// Note is the author's description of the change.
	Note string `json:"note,omitempty"`
	// Time is when the change was applied, in UTC.
	Time time.Time `json:"time"`
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

// DecodeHead decodes the output of Encode. A head without a version or with a
// malformed digest is a config.Error of KindCorrupt.
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

// headOf decodes the head from its row. It returns a zero Head for a zero Row and
// an error if the row's version differs from the head's.
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
