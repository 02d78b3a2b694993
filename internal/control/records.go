package control

import (
	"encoding/json"
	"sort"

	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
)

// Names of replicated records.
const (
	recordInstance = "instance"
	recordLoad     = "load"
)

type recordKey struct{ owner, name string }

// records is the replicated soft state of this instance: for each owner and
// name the record with the highest incarnation and sequence.
type records struct {
	self membership.Identity
	all  map[recordKey]*peerpb.Record
	seq  uint64
}

func newRecords(self membership.Identity) *records {
	return &records{self: self, all: map[recordKey]*peerpb.Record{}}
}

// set stores a record of this instance.
func (r *records) set(name string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	r.seq++
	r.all[recordKey{r.self.ID, name}] = &peerpb.Record{
		Owner: r.self.ID, Name: name, Incarnation: r.self.Incarnation, Sequence: r.seq, Value: data,
	}
	return nil
}

// merge takes records from another instance and returns those that were news.
func (r *records) merge(in []*peerpb.Record) []*peerpb.Record {
	var news []*peerpb.Record
	for _, rec := range in {
		k := recordKey{rec.Owner, rec.Name}
		if old := r.all[k]; old != nil && !newer(rec, old) {
			continue
		}
		if rec.Owner == r.self.ID && rec.Name != recordInstance {
			continue
		}
		r.all[k] = rec
		news = append(news, rec)
	}
	return news
}

func newer(a, b *peerpb.Record) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// list returns all records by owner and name.
func (r *records) list() []*peerpb.Record {
	out := make([]*peerpb.Record, 0, len(r.all))
	for _, rec := range r.all {
		out = append(out, rec)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Owner != out[j].Owner {
			return out[i].Owner < out[j].Owner
		}
		return out[i].Name < out[j].Name
	})
	return out
}
