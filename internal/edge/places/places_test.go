package places

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/banyandeal/banyandeal/internal/decide/admission"
	"github.com/banyandeal/banyandeal/internal/decide/assign"
	"github.com/banyandeal/banyandeal/internal/edge/relay"
	"github.com/banyandeal/banyandeal/internal/edge/relay/relaypb"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
	"github.com/banyandeal/banyandeal/platform"
)

// desk keeps entries in a table.
type desk struct{ table *assign.Table }

func (d *desk) Assign(_ admission.PlacementRequest, after uint64) []assign.Entry {
	return d.table.Since(after)
}
func (d *desk) Merge(entries []assign.Entry) { d.table.Merge(entries, time.Now()) }
func (d *desk) Balance()                     {}
func (d *desk) TakeOver()                    { d.table.TakeOver() }
func (d *desk) PlacesVersion() uint64        { return d.table.Version() }

// row is a store of one row.
type row struct {
	value   []byte
	version uint64
	writes  int
	lost    bool
}

func (r *row) Row(context.Context, string, string) (platform.Row, bool, error) {
	return platform.Row{Value: r.value, Version: r.version}, r.version > 0, nil
}

func (r *row) Put(_ context.Context, x platform.Row, expected uint64) (uint64, error) {
	if expected != r.version {
		return 0, &platform.Conflict{Rows: []platform.Row{{Value: r.value, Version: r.version}}}
	}
	r.value, r.version = x.Value, r.version+1
	r.writes++
	if r.lost {
		r.lost = false
		return 0, &platform.CallError{Sent: true, Cause: errors.New("lost")}
	}
	return r.version, nil
}

// one returns the only instance of a region, which therefore assigns.
func one(r *row) (*Places, *desk) {
	d := &desk{table: assign.New()}
	p := New("one", "here", d, relay.NewClient("one"), r, zerolog.Nop())
	p.Members([]traffic.Member{{Name: "one"}})
	return p, d
}

func (d *desk) add(object string) {
	candidates := []assign.Candidate{{ID: "b", Region: "here", Weight: 1}}
	d.table.Assign(assign.Key{Service: "shop", Prefix: "/r/", Object: object}, false, candidates, time.Now())
}

// later lets the next tick write.
func (p *Places) later() { p.savedAt = time.Time{} }

// TestWriteWhoseAnswerIsLost is settled by the conflict of the next one.
func TestWriteWhoseAnswerIsLost(t *testing.T) {
	r := &row{lost: true}
	p, d := one(r)
	d.add("x")
	for range 4 {
		p.tick(t.Context())
		p.later()
	}
	require.Equal(t, r.version, p.row)
	require.Equal(t, d.table.Version(), p.saved)
	require.Equal(t, 2, r.writes)
}

// TestAnotherWriter: what another instance has written is taken in, and nothing of
// it is lost.
func TestAnotherWriter(t *testing.T) {
	r := &row{}
	first, a := one(r)
	a.add("x")
	first.tick(t.Context())
	second, b := one(r)
	b.add("y")
	for range 3 {
		second.tick(t.Context())
		second.later()
	}
	var stored relaypb.Places
	require.NoError(t, proto.Unmarshal(r.value, &stored))
	entries, err := relay.DecodePlaces(&stored)
	require.NoError(t, err)
	require.Len(t, entries, 2)
}

// TestUnreadableRow is written anew.
func TestUnreadableRow(t *testing.T) {
	r := &row{value: []byte("garbage"), version: 9}
	p, d := one(r)
	p.load(t.Context())
	d.add("x")
	p.tick(t.Context())
	require.Equal(t, uint64(10), r.version)
}

// TestRowHoldsTheNewest: a table that is too large for a row keeps what was
// assigned last.
func TestRowHoldsTheNewest(t *testing.T) {
	var entries []assign.Entry
	for n := range 20000 {
		entries = append(entries, assign.Entry{
			Key: assign.Key{Service: "shop", Prefix: "/r/", Object: fmt.Sprint("object-", n)}, Backend: "b", Version: uint64(n + 1),
		})
	}
	value, err := encode(entries)
	require.NoError(t, err)
	require.LessOrEqual(t, len(value), maxRowBytes)
	var stored relaypb.Places
	require.NoError(t, proto.Unmarshal(value, &stored))
	kept, err := relay.DecodePlaces(&stored)
	require.NoError(t, err)
	require.NotEmpty(t, kept)
	require.Equal(t, entries[len(entries)-1], kept[len(kept)-1])
}

// TestMessageOfAnotherVersion: an index out of range is an error, not a crash.
func TestMessageOfAnotherVersion(t *testing.T) {
	_, err := relay.DecodePlaces(&relaypb.Places{Groups: []*relaypb.PlaceGroup{{Places: []*relaypb.Place{{Backend: 3}}}}})
	require.ErrorContains(t, err, "backend index 3 of 0")
}
