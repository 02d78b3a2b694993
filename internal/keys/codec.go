package keys

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/forward"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
	"github.com/banyandeal/banyandeal/internal/unixmilli"
)

// EncodeHome returns the peer message for a home.
func EncodeHome(h once.Home) *peerpb.Home {
	return &peerpb.Home{Zone: h.Zone, Id: h.ID, Incarnation: h.Incarnation}
}

// DecodeHome returns the home in a peer message.
func DecodeHome(p *peerpb.Home) once.Home {
	return once.Home{Zone: p.GetZone(), ID: p.GetId(), Incarnation: p.GetIncarnation()}
}

// EncodeTransfer returns the peer message for a transfer, and the body that
// carries the records of the transfer.
func EncodeTransfer(t once.Transfer) (*peerpb.KeyTransfer, io.Reader, error) {
	out := &peerpb.KeyTransfer{From: EncodeHome(t.From), To: EncodeHome(t.To)}
	for _, a := range t.Authorities {
		out.Authorities = append(out.Authorities, &peerpb.KeyAuthority{Home: EncodeHome(a.Home), FloorMs: unixmilli.From(a.Floor)})
	}
	var body bytes.Buffer
	for _, r := range t.Records {
		if _, err := protodelim.MarshalTo(&body, encodeRecord(r)); err != nil {
			return nil, nil, errors.Trace(err)
		}
	}
	return out, &body, nil
}

// DecodeTransfer returns the transfer in a peer message and the body that came
// with the message. It returns an error if the body is malformed or truncated.
func DecodeTransfer(p *peerpb.KeyTransfer, body io.Reader) (once.Transfer, error) {
	t := once.Transfer{From: DecodeHome(p.From), To: DecodeHome(p.To)}
	for _, a := range p.Authorities {
		t.Authorities = append(t.Authorities, once.Authority{Home: DecodeHome(a.Home), Floor: unixmilli.Time(a.FloorMs)})
	}
	r := bufio.NewReader(body)
	for {
		var rec peerpb.KeyRecord
		err := protodelim.UnmarshalFrom(r, &rec)
		if errors.Is(err, io.EOF) {
			return t, nil
		}
		if err != nil {
			return once.Transfer{}, errors.Annotate(err, "decoding the handed over key records failed; the predecessor keeps the authority over its keys")
		}
		t.Records = append(t.Records, decodeRecord(&rec))
	}
}

// EncodeRecords returns the peer messages for records.
func EncodeRecords(rs []once.Record) []*peerpb.KeyRecord {
	out := make([]*peerpb.KeyRecord, len(rs))
	for i, r := range rs {
		out[i] = encodeRecord(r)
	}
	return out
}

// DecodeRecords returns the records in peer messages.
func DecodeRecords(ps []*peerpb.KeyRecord) []once.Record {
	out := make([]once.Record, len(ps))
	for i, p := range ps {
		out[i] = decodeRecord(p)
	}
	return out
}

func encodeRecord(r once.Record) *peerpb.KeyRecord {
	out := &peerpb.KeyRecord{
		Key: r.Key, Home: EncodeHome(r.Home), ExpiryMs: unixmilli.From(r.Expiry),
		Fingerprint: uint64(r.Fingerprint), State: int32(r.State),
	}
	if r.State == once.RecordSettled {
		out.Result = encodeResult(r.Result)
	}
	return out
}

func encodeResult(res once.Result) *peerpb.KeyResult {
	out := &peerpb.KeyResult{
		Outcome: int32(res.Outcome), Status: int32(res.Status), Headers: forward.ToHeaders(res.Header),
		Body: res.Body, BodyDropped: res.BodyDropped,
	}
	if res.Err != nil {
		out.Failure = forward.ToFailure(res.Err)
	}
	return out
}

func decodeRecord(p *peerpb.KeyRecord) once.Record {
	r := once.Record{
		Key: p.Key, Home: DecodeHome(p.Home), Expiry: unixmilli.Time(p.ExpiryMs),
		Fingerprint: once.Fingerprint(p.Fingerprint), State: once.RecordState(p.State),
	}
	if res := p.Result; res != nil {
		r.Result = once.Result{
			Outcome: outcome.Outcome(res.Outcome), Status: int(res.Status), Body: res.Body, BodyDropped: res.BodyDropped,
		}
		if len(res.Headers) > 0 {
			r.Result.Header = http.Header(forward.FromHeaders(res.Headers))
		}
		if res.Failure != nil {
			r.Result.Err = forward.FromFailure(res.Failure)
		}
	}
	return r
}
