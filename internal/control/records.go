package control

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/refresh"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
)

// Names of replicated records. Local records are replicated within their zone,
// global records to every instance.
const (
	// recordInstance is the name of the record that describes an instance;
	// global.
	recordInstance = "instance"
	// recordLoad is the name of the record that holds the load of one instance;
	// local.
	recordLoad = "load"
	// recordZoneLoad is the name of the record that holds the load of a zone;
	// global.
	recordZoneLoad = "zone-load"
	// recordBackends is the name of the record that holds a zone's backend
	// servers as the platform lists them; local.
	recordBackends = "backend-list"
)

// records is this instance's replica of the soft state that instances share.
type records struct {
	self          membership.Identity
	global, local *refresh.Set
	// neighbours holds the exchange state of each other incarnation.
	neighbours map[membership.Identity]*neighbour
	expiries   expiries
	// seq is the sequence number of the last record that this instance stored.
	seq uint64
}

// neighbour is the state of the record exchange with one incarnation of an
// instance.
type neighbour struct {
	global, local refresh.Policy
	// inProgress is set while an exchange is in progress. rerun is set if
	// another exchange was requested in the meantime.
	inProgress, rerun bool
}

func newRecords(self membership.Identity) *records {
	return &records{
		self: self, global: refresh.NewSet(refresh.Limits{}), local: refresh.NewSet(refresh.Limits{}),
		neighbours: map[membership.Identity]*neighbour{}, expiries: expiries{},
	}
}

func (r *records) neighbour(id membership.Identity) *neighbour {
	n := r.neighbours[id]
	if n == nil {
		n = &neighbour{global: refresh.NewDeltaTreePolicy(r.global), local: refresh.NewDeltaTreePolicy(r.local)}
		r.neighbours[id] = n
	}
	return n
}

// set stores a record that this instance owns.
func (r *records) set(now time.Time, set *refresh.Set, name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return errors.Trace(err)
	}
	r.seq++
	set.Put(now, refresh.Record{Owner: r.self.ID, Name: name, Incarnation: r.self.Incarnation, Sequence: r.seq, Value: data})
	return nil
}

// forget deletes the records that an incarnation published about itself. Every
// instance deletes them in the same way, so that the replicas stay equal.
func (r *records) forget(now time.Time, id membership.Identity) {
	delete(r.neighbours, id)
	for _, at := range []struct {
		set  *refresh.Set
		name string
	}{{r.local, recordLoad}, {r.local, recordBackends}, {r.global, recordZoneLoad}, {r.global, recordRamp}, {r.global, recordQuarantine}} {
		r.delete(now, at.set, id.ID, at.name, id.Incarnation)
	}
}

// unseenRecords returns the records that are newer than those in the set.
// Deletions are left out.
func unseenRecords(set *refresh.Set, recs []refresh.Record) []refresh.Record {
	var out []refresh.Record
	for _, rec := range recs {
		old, ok := set.Get(rec.Owner, rec.Name)
		if !rec.Deleted && (!ok || newer(rec, old)) {
			out = append(out, rec)
		}
	}
	return out
}

// newer reports whether a replaces b.
func newer(a, b refresh.Record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

func encodeRefresh(m refresh.Message) *peerpb.Refresh {
	out := &peerpb.Refresh{Since: m.Since, Digest: m.Digest, Full: m.Full, Records: make([]*peerpb.Record, len(m.Records))}
	for i, r := range m.Records {
		out.Records[i] = encodeRecord(r)
	}
	for _, n := range m.Nodes {
		out.Nodes = append(out.Nodes, &peerpb.RefreshNode{Index: n.Index, Digest: n.Digest})
	}
	out.Leaves = m.Leaves
	return out
}

func decodeRefresh(p *peerpb.Refresh) refresh.Message {
	m := refresh.Message{Since: p.GetSince(), Digest: p.GetDigest(), Full: p.GetFull(), Records: make([]refresh.Record, len(p.GetRecords()))}
	for i, r := range p.GetRecords() {
		m.Records[i] = decodeRecord(r)
	}
	for _, n := range p.GetNodes() {
		m.Nodes = append(m.Nodes, refresh.NodeDigest{Index: n.GetIndex(), Digest: n.GetDigest()})
	}
	m.Leaves = p.GetLeaves()
	return m
}

func encodeRecord(r refresh.Record) *peerpb.Record {
	return &peerpb.Record{
		Owner: r.Owner, Name: r.Name, Incarnation: r.Incarnation, Sequence: r.Sequence, Value: r.Value, Deleted: r.Deleted,
	}
}

func decodeRecord(p *peerpb.Record) refresh.Record {
	return refresh.Record{
		Owner: p.GetOwner(), Name: p.GetName(), Incarnation: p.GetIncarnation(), Sequence: p.GetSequence(),
		Value: p.GetValue(), Deleted: p.GetDeleted(),
	}
}
