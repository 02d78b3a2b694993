package membership

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/banyandeal/banyandeal/internal/decide/refresh"
)

// RecordName is the name of the replicated records that describe instances.
const RecordName = "member"

// Fields of a record's value.
const (
	fieldZone   protowire.Number = 1
	fieldCaller protowire.Number = 2
	fieldPeer   protowire.Number = 3
)

// Record returns the instance as a replicated record. Of two incarnations of
// one ID only the later is replicated.
func (i Instance) Record() refresh.Record {
	var value []byte
	for _, f := range []struct {
		number protowire.Number
		text   string
	}{{fieldZone, i.Zone}, {fieldCaller, i.Caller}, {fieldPeer, i.Peer}} {
		value = protowire.AppendTag(value, f.number, protowire.BytesType)
		value = protowire.AppendString(value, f.text)
	}
	return refresh.Record{
		Owner: i.ID, Name: RecordName, Incarnation: i.Incarnation,
		Sequence: i.RecordSequence(), Value: value,
	}
}

// Tombstone returns the record that deletes the instance's. It is put once the
// instance has been gone for Config.KeepGone.
func (i Instance) Tombstone() refresh.Record {
	r := i.Record()
	r.Value, r.Deleted = nil, true
	return r
}

// FromRecord returns the instance that a record describes. The error says what
// is wrong with a record that describes none; it has to be dropped.
func FromRecord(r refresh.Record) (Instance, error) {
	if r.Name != RecordName || r.Owner == "" || r.Deleted {
		return Instance{}, errors.NotValidf("record %s/%s of no instance", r.Owner, r.Name)
	}
	in := Instance{
		Identity: Identity{ID: r.Owner, Incarnation: r.Incarnation},
		State:    State(r.Sequence & (1<<stateBits - 1)),
		Sequence: r.Sequence >> stateBits,
	}
	for b := r.Value; len(b) > 0; {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 || kind != protowire.BytesType {
			return Instance{}, errors.NotValidf("value of record %s/%s", r.Owner, r.Name)
		}
		text, size := protowire.ConsumeString(b[n:])
		if size < 0 {
			return Instance{}, errors.NotValidf("value of record %s/%s", r.Owner, r.Name)
		}
		in.setField(number, text)
		b = b[n+size:]
	}
	if in.Zone == "" || in.Peer == "" {
		return Instance{}, errors.NotValidf("record %s/%s without zone or peer address", r.Owner, r.Name)
	}
	return in, nil
}

// setField takes one field of a value; unknown ones are left to later versions.
func (i *Instance) setField(number protowire.Number, text string) {
	switch number {
	case fieldZone:
		i.Zone = text
	case fieldCaller:
		i.Caller = text
	case fieldPeer:
		i.Peer = text
	}
}
