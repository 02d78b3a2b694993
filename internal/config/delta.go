package config

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/juju/errors"
)

// Bounds on the parts that a delta carries itself, in bytes.
const (
	maxInlinePart  = 4 << 10
	maxInlineTotal = 16 << 10
)

// Delta leads from one version to the next.
type Delta struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// FromChangeID is the change of version From; ChangeID and Author are those
	// of version To.
	FromChangeID string `json:"from_change_id"`
	ChangeID     string `json:"change_id"`
	Author       string `json:"author"`
	// Prev is the digest of the delta that led to From; empty for the first.
	Prev     Digest `json:"prev,omitempty"`
	FromRoot Digest `json:"from_root"`
	Root     Digest `json:"root"`
	// Changed and Removed are sorted by name.
	Changed []Entry  `json:"changed"`
	Removed []string `json:"removed,omitempty"`
	// Inline holds small changed parts by name, which need no fetch.
	Inline map[string][]byte `json:"inline,omitempty"`
}

// NewDelta returns the parts that changed from one manifest to another. The
// versions, Prev and Inline are the caller's to set.
func NewDelta(old, new Manifest) Delta {
	d := Delta{FromRoot: old.Root, Root: new.Root, Changed: []Entry{}}
	i := 0
	for _, e := range new.Entries {
		for ; i < len(old.Entries) && old.Entries[i].Name < e.Name; i++ {
			d.Removed = append(d.Removed, old.Entries[i].Name)
		}
		if i < len(old.Entries) && old.Entries[i].Name == e.Name {
			i++
			if old.Entries[i-1] == e {
				continue
			}
		}
		d.Changed = append(d.Changed, e)
	}
	for ; i < len(old.Entries); i++ {
		d.Removed = append(d.Removed, old.Entries[i].Name)
	}
	return d
}

// Compose returns the delta that leads over d and then over next.
func (d Delta) Compose(next Delta) Delta {
	out := next
	out.From, out.FromRoot, out.FromChangeID, out.Prev = d.From, d.FromRoot, d.FromChangeID, d.Prev
	changed := map[string]Entry{}
	removed := map[string]bool{}
	out.Inline = map[string][]byte{}
	for _, step := range []Delta{d, next} {
		for _, name := range step.Removed {
			delete(changed, name)
			delete(out.Inline, name)
			removed[name] = true
		}
		for _, e := range step.Changed {
			delete(removed, e.Name)
			delete(out.Inline, e.Name)
			changed[e.Name] = e
		}
		maps.Copy(out.Inline, step.Inline)
	}
	out.Changed = make([]Entry, 0, len(changed))
	for _, name := range sortedKeys(changed) {
		out.Changed = append(out.Changed, changed[name])
	}
	out.Removed = sortedKeys(removed)
	return out
}

// SetInline puts the small ones among the changed parts into the delta.
func (d *Delta) SetInline(parts []Part) {
	d.Inline = map[string][]byte{}
	total := 0
	for _, p := range parts {
		if e, ok := (Manifest{Entries: d.Changed}).entry(p.Name); !ok || e != p.Entry {
			continue
		}
		if p.Size <= maxInlinePart && total+p.Size <= maxInlineTotal {
			d.Inline[p.Name] = p.Bytes
			total += p.Size
		}
	}
}

// Encode returns the delta as JSON.
func (d Delta) Encode() ([]byte, error) {
	data, err := json.Marshal(d)
	return data, errors.Annotate(err, "encode the delta")
}

// DecodeDelta reads what Encode wrote and checks the parts that it carries.
func DecodeDelta(data []byte) (Delta, error) {
	var d Delta
	if err := decodeJSON("delta", data, &d); err != nil {
		return Delta{}, err
	}
	if d.To <= d.From || !d.Root.Valid() || !d.FromRoot.Valid() || (d.Prev != "" && !d.Prev.Valid()) {
		return Delta{}, corrupt("delta", "it leads from version %d to %d, or has no root", d.From, d.To)
	}
	if err := checkEntries("delta", d.Changed); err != nil {
		return Delta{}, err
	}
	if !slices.IsSorted(d.Removed) {
		return Delta{}, corrupt("delta", "the removed parts are out of order")
	}
	for _, name := range sortedKeys(d.Inline) {
		e, ok := Manifest{Entries: d.Changed}.entry(name)
		if !ok || e != newPart(name, d.Inline[name]).Entry {
			return Delta{}, corrupt("delta", "the part %q is not the listed one", name)
		}
	}
	return d, nil
}
