package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"math/bits"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Digest is a hex SHA-256. That of an object is the name under which the
// object store keeps it.
type Digest string

// DigestOf returns the digest of an object.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// Valid reports whether the digest is well-formed.
func (d Digest) Valid() bool {
	raw, err := hex.DecodeString(string(d))
	return err == nil && len(raw) == sha256.Size && hex.EncodeToString(raw) == string(d)
}

// Part is one piece of an estate.
type Part struct {
	Entry
	// Bytes is the part's encoding; nobody may change it.
	Bytes []byte
}

// Entry names one part of an estate.
type Entry struct {
	// Name is core, service/<name>, site/<name>, since/<site> or
	// blocks/<range>.
	Name string `json:"name"`
	// Digest is that of the part's encoding and Size its length in bytes.
	Digest Digest `json:"digest"`
	Size   int    `json:"size"`
}

func newPart(name string, data []byte) Part {
	return Part{Entry: Entry{Name: name, Digest: DigestOf(data), Size: len(data)}, Bytes: data}
}

// Manifest lists the parts of one content. Two contents are equal if and only
// if their roots are.
type Manifest struct {
	Root Digest `json:"root"`
	// Entries are sorted by name.
	Entries []Entry `json:"entries"`
}

// root is the sum of the hashes of a content's entries modulo 2^256, so that a
// change costs what it changes and not the length of the manifest. It tells
// contents apart that were mixed up; an object is guarded by its own digest.
type root [4]uint64

func (e Entry) hash() root {
	sum := sha256.Sum256([]byte(e.Name + "\x00" + string(e.Digest)))
	var r root
	for i := range r {
		r[i] = binary.LittleEndian.Uint64(sum[i*8:])
	}
	return r
}

func (r root) add(e Entry) root {
	h := e.hash()
	var carry uint64
	for i := range r {
		r[i], carry = bits.Add64(r[i], h[i], carry)
	}
	return r
}

func (r root) remove(e Entry) root {
	h := e.hash()
	var borrow uint64
	for i := range r {
		r[i], borrow = bits.Sub64(r[i], h[i], borrow)
	}
	return r
}

func (r root) digest() Digest {
	var raw [sha256.Size]byte
	for i, w := range r {
		binary.LittleEndian.PutUint64(raw[i*8:], w)
	}
	return Digest(hex.EncodeToString(raw[:]))
}

func rootOf(entries []Entry) root {
	var r root
	for _, e := range entries {
		r = r.add(e)
	}
	return r
}

func newManifest(entries []Entry) Manifest {
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return Manifest{Root: rootOf(entries).digest(), Entries: entries}
}

// manifestPages is the number of pages that a manifest is stored in, so that a
// change rewrites one page and the index of the pages.
const manifestPages = 64

// Index names the pages of a manifest. Its digest stands for the manifest.
type Index struct {
	Root Digest `json:"root"`
	// Pages are in order of the page that an entry's name falls into.
	Pages []Digest `json:"pages"`
}

// pageOf returns the page that an entry belongs to; it depends on the name
// alone.
func pageOf(name string) int {
	sum := sha256.Sum256([]byte(name))
	return int(sum[0]) % manifestPages
}

// Encode returns the index of the manifest and its pages, as JSON.
func (m Manifest) Encode() (index []byte, pages [][]byte, err error) {
	split := make([][]Entry, manifestPages)
	for _, e := range m.Entries {
		i := pageOf(e.Name)
		split[i] = append(split[i], e)
	}
	ix := Index{Root: m.Root}
	for _, entries := range split {
		data, err := json.Marshal(entries)
		if err != nil {
			return nil, nil, errors.Annotate(err, "encode a page of the manifest")
		}
		pages = append(pages, data)
		ix.Pages = append(ix.Pages, DigestOf(data))
	}
	index, err = json.Marshal(ix)
	return index, pages, errors.Annotate(err, "encode the index of the manifest")
}

// DecodeIndex reads the index that Encode wrote.
func DecodeIndex(data []byte) (Index, error) {
	var ix Index
	if err := decodeJSON("index", data, &ix); err != nil {
		return Index{}, err
	}
	if len(ix.Pages) != manifestPages || !ix.Root.Valid() {
		return Index{}, corrupt("index", "it has no root, or %d pages instead of %d", len(ix.Pages), manifestPages)
	}
	for _, d := range ix.Pages {
		if !d.Valid() {
			return Index{}, corrupt("index", "the digest of a page is not valid")
		}
	}
	return ix, nil
}

// Manifest puts the pages together and checks them against the digests and the
// root.
func (ix Index) Manifest(pages [][]byte) (Manifest, error) {
	if len(pages) != len(ix.Pages) {
		return Manifest{}, corrupt("manifest", "pages are missing")
	}
	var all []Entry
	for i, data := range pages {
		if DigestOf(data) != ix.Pages[i] {
			return Manifest{}, corrupt("manifest", "page %d does not match its digest", i)
		}
		var entries []Entry
		if err := decodeJSON("manifest", data, &entries); err != nil {
			return Manifest{}, err
		}
		if err := checkEntries("manifest", entries); err != nil {
			return Manifest{}, err
		}
		for _, e := range entries {
			if pageOf(e.Name) != i {
				return Manifest{}, corrupt("manifest", "%q is on the wrong page", e.Name)
			}
		}
		all = append(all, entries...)
	}
	m := newManifest(all)
	if m.Root != ix.Root {
		return Manifest{}, corrupt("manifest", "the entries do not give the root")
	}
	return m, nil
}

func checkEntries(what string, entries []Entry) error {
	for i, e := range entries {
		if !e.Digest.Valid() || e.Size < 0 {
			return corrupt(what, "the entry %q has no digest or size", e.Name)
		}
		if i > 0 && entries[i-1].Name >= e.Name {
			return corrupt(what, "the entry %q is out of order", e.Name)
		}
	}
	return nil
}

// entry returns the entry of a name.
func (m Manifest) entry(name string) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(m.Entries, name, func(e Entry, n string) int { return strings.Compare(e.Name, n) })
	if !ok {
		return Entry{}, false
	}
	return m.Entries[i], true
}
