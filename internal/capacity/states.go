package capacity

import (
	"fmt"

	"github.com/banyandeal/banyandeal/internal/decide/refresh"
)

// RefreshPolicy is one way to refresh state.
type RefreshPolicy struct {
	Name string
	New  func(*refresh.Set) refresh.Policy
}

// RefreshPolicies are the ways compared.
var RefreshPolicies = []RefreshPolicy{
	{"full refresh", refresh.NewFullPolicy}, {"changes, one digest", refresh.NewDeltaPolicy},
	{"changes, digest tree", refresh.NewTreePolicy}, {"changes, one digest, tree on mismatch", refresh.NewDeltaTreePolicy},
}

// RefreshCost is what one policy takes at one number of records.
type RefreshCost struct {
	Policy  string
	Records int
	// IdleBytes and IdleTime are those of an exchange without news,
	// ChangedBytes those of one after 10 changes.
	IdleBytes, IdleTime, ChangedBytes float64
	// Lost and Restart are the ways back to equal sets after one record was lost
	// without a trace, and after the neighbour began anew.
	Lost, Restart Resync
}

// Resync is a way back to equal sets. Time is processor time in seconds.
type Resync struct {
	Bytes, Time float64
	Exchanges   int
}

// changedRecords is how many records change before the exchange that is
// measured with changes.
const changedRecords = 10

// maxExchanges bounds a way back.
const maxExchanges = 64

func stateRecord(i int, sequence uint64) refresh.Record {
	in := newInstance(i%Letter.Zones, i/Letter.Zones)
	in.Sequence = sequence
	return refresh.Record{Owner: in.ID, Name: "instance", Incarnation: in.Incarnation, Sequence: in.RecordSequence(), Value: mustJSON(in)}
}

// manyStates returns the records of n instances.
func manyStates(n int) []refresh.Record {
	records := make([]refresh.Record, n)
	for i := range records {
		records[i] = stateRecord(i, 1)
	}
	return records
}

// pairOf returns two equal sets with their policies, at rest.
func pairOf(p RefreshPolicy, records []refresh.Record) (sets [2]*refresh.Set, ends [2]refresh.Policy) {
	for i := range sets {
		sets[i] = refresh.NewSet(refresh.Limits{})
		ends[i] = p.New(sets[i])
	}
	for _, r := range records {
		sets[0].Put(start, r)
	}
	for range 3 {
		exchange(ends[0], ends[1])
	}
	return sets, ends
}

func exchange(a, b refresh.Policy) (bytes float64) {
	req := a.Request()
	reply := b.Serve(start, req)
	a.Finish(start, reply)
	return float64(req.Size() + reply.Size())
}

// MeasureRefresh compares the policies at several numbers of records.
func MeasureRefresh() []RefreshCost {
	var out []RefreshCost
	for _, n := range memberSteps {
		records := manyStates(n)
		for _, p := range RefreshPolicies {
			out = append(out, refreshCost(p, records))
		}
	}
	return out
}

func refreshCost(p RefreshPolicy, records []refresh.Record) RefreshCost {
	c := RefreshCost{Policy: p.Name, Records: len(records)}
	sets, ends := pairOf(p, records)
	c.IdleTime = seconds(func() { c.IdleBytes = exchange(ends[0], ends[1]) })
	for i := range changedRecords {
		sets[0].Put(start, stateRecord(i, 2))
	}
	c.ChangedBytes = exchange(ends[0], ends[1])
	c.Restart = restartCost(p, records)
	c.Lost = lostCost(p, records)
	return c
}

// restartCost is the way back of a neighbour that begins anew.
func restartCost(p RefreshPolicy, records []refresh.Record) Resync {
	sets, _ := pairOf(p, records)
	fresh := refresh.NewSet(refresh.Limits{})
	return resync(sets[0], fresh, p.New(sets[0]), p.New(fresh))
}

// lostCost is the way back after a fault dropped an old record at the
// neighbour. The set without it takes the place of the whole one, and counts as
// many changes by way of a tombstone, which no digest has.
func lostCost(p RefreshPolicy, records []refresh.Record) Resync {
	sets, ends := pairOf(p, records)
	lost := len(records) / 4
	faulty := refresh.NewSet(refresh.Limits{})
	for i, r := range records {
		if i == lost {
			r = refresh.Record{Owner: "none", Name: "none", Incarnation: 1, Deleted: true}
		}
		faulty.Put(start, r)
	}
	*sets[1] = *faulty
	return resync(sets[0], sets[1], ends[0], ends[1])
}

func resync(a, b *refresh.Set, pa, pb refresh.Policy) (out Resync) {
	out.Time = oneCall(func() {
		for a.Digest() != b.Digest() {
			out.Bytes += exchange(pa, pb)
			out.Exchanges++
			if out.Exchanges == maxExchanges {
				panic(fmt.Sprintf("no way back in %d exchanges", maxExchanges))
			}
		}
	})
	return out
}
