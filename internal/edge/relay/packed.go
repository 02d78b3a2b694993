package relay

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/edge/relay/relaypb"
	"github.com/banyandeal/banyandeal/platform"
)

const (
	// minPackedBytes is the size from which the value of a row is compressed. Smaller
	// ones fit into a packet or two.
	minPackedBytes = 2 << 10
	// maxKeptRows bounds the compressed values that are kept.
	maxKeptRows = 64
)

// packer compresses the values of large rows. It keeps the compressed values, also those
// that were received, so that each value is compressed by one instance of the region
// only. It is safe for concurrent use.
type packer struct {
	mu   sync.Mutex
	kept map[rowKey]packedValue
}

// rowKey identifies a row.
type rowKey struct{ table, key string }

// packedValue is the compressed form of a value.
type packedValue struct {
	// sum is the hash of the value. A version does not identify a value, because
	// versions are given out again after the store came back from an older copy.
	sum    uint64
	packed []byte
}

// newPacker returns a packer that keeps nothing.
func newPacker() *packer { return &packer{kept: map[rowKey]packedValue{}} }

// encode converts a row to a message.
func (p *packer) encode(row platform.Row) (*relaypb.Row, error) {
	out := &relaypb.Row{Key: row.Key, Version: row.Version, Deleted: row.Deleted}
	if len(row.Value) < minPackedBytes {
		out.Value = row.Value
		return out, nil
	}
	packed, err := p.pack(row)
	out.Packed = packed
	return out, err
}

// pack returns the compressed value of a row.
func (p *packer) pack(row platform.Row) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key, sum := rowKey{row.Table, row.Key}, xxhash.Sum64(row.Value)
	if k, ok := p.kept[key]; ok && k.sum == sum {
		return k.packed, nil
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(row.Value); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	p.keep(key, packedValue{sum: sum, packed: buf.Bytes()})
	return buf.Bytes(), nil
}

// decode converts a message to a row of the given table. Errors: a packed value that is
// not valid or larger than maxMessageBytes.
func (p *packer) decode(table string, row *relaypb.Row) (platform.Row, error) {
	out := platform.Row{Table: table, Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted}
	if len(row.Packed) == 0 {
		return out, nil
	}
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(row.Packed)), maxMessageBytes+1))
	if err != nil {
		return out, errors.Annotatef(err, "unpack row %q of table %q; the sender may run another version", row.Key, table)
	}
	if len(value) > maxMessageBytes {
		return out, errors.NotValidf("row %q of table %q of more than %d bytes", row.Key, table, maxMessageBytes)
	}
	out.Value = value
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keep(rowKey{table, row.Key}, packedValue{sum: xxhash.Sum64(value), packed: row.Packed})
	return out, nil
}

// keep keeps a compressed value. The caller must hold p.mu.
func (p *packer) keep(key rowKey, v packedValue) {
	if _, known := p.kept[key]; !known && len(p.kept) >= maxKeptRows {
		for other := range p.kept {
			delete(p.kept, other)
			break
		}
	}
	p.kept[key] = v
}
