package membership

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/banyandeal/banyandeal/internal/decide/refresh"
)

// RecordName is the name of a replicated record that describes an instance.
const RecordName = "member"

// Protobuf field numbers of a record's value.
const (
	fieldZone   protowire.Number = 1
	fieldCaller protowire.Number = 2
	fieldPeer   protowire.Number = 3
)

// Record returns the replicated record that describes the instance. Of two
// incarnations of one ID, only the later one is replicated.
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

// Tombstone returns the record that deletes the instance's record. The caller
// stores it once the instance has been gone for Config.GoneRetention.
func (i Instance) Tombstone() refresh.Record {
	r := i.Record()
	r.Value, r.Deleted = nil, true
	return r
}

// FromRecord returns the instance that a record describes. It returns an error
// when the record describes no instance; the caller must drop such a record.
func FromRecord(r refresh.Record) (Instance, error) {
	if r.Name != RecordName || r.Owner == "" || r.Deleted {
		return Instance{}, errors.NotValidf("record %s/%s that describes no instance", r.Owner, r.Name)
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

// setField sets one field from its encoded text. It ignores unknown fields, which
// later versions may add.
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
