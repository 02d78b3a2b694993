package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/control"
	"github.com/banyandeal/banyandeal/internal/decide/once"
	"github.com/banyandeal/banyandeal/internal/filter"
	"github.com/banyandeal/banyandeal/internal/forward"
	"github.com/banyandeal/banyandeal/internal/keys"
	"github.com/banyandeal/banyandeal/internal/outcome"
	"github.com/banyandeal/banyandeal/internal/peer"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
	"github.com/banyandeal/banyandeal/internal/platform"
)

const (
	// maxClaimAttempts is the maximum number of compare-and-set attempts for one
	// batch of claims.
	maxClaimAttempts = 5
	// claimRow is the format of the name of the row of a claim shard.
	claimRow = "claims/%d"
)

// keyTransport implements keys.Transport for a daemon.
type keyTransport struct {
	control  *control.Control
	sender   *forward.Sender
	peers    *peer.Client
	platform *platform.Client
	self     once.Home
}

// address returns the peer address of a home that may still be running. This
// includes leaving and suspect instances, because only the home itself knows the
// state of its keys.
func (t *keyTransport) address(h once.Home) (string, bool) { return t.control.AddressOf(h) }

// Forward implements keys.Transport.
func (t *keyTransport) Forward(ctx context.Context, to once.Home, r *filter.Request) (a *filter.Response, replied, sent bool, err error) {
	addr, ok := t.address(to)
	if !ok {
		return nil, false, false, outcome.NotRunError(outcome.KindPeerLost, time.Second, "no address is known for home %s of the key", to)
	}
	a, err = t.sender.Send(ctx, forward.Target{Address: addr, ID: to.ID, Incarnation: to.Incarnation}, r, filter.StageHome)
	if err == nil {
		return a, true, true, nil
	}
	var failed *forward.NoReplyError
	if errors.As(err, &failed) {
		return nil, false, failed.Sent, failed.Err
	}
	return nil, true, true, err
}

// Claim implements keys.Transport. After a lost reply it reads the row again and
// merges the batch into it, which is idempotent.
func (t *keyTransport) Claim(ctx context.Context, batch once.ClaimBatch) once.ClaimResult {
	failed := once.ClaimResult{Shard: batch.Shard, Failed: true}
	row, err := t.claimRow(ctx, batch.Shard)
	for attempt := 0; attempt < maxClaimAttempts && err == nil; attempt++ {
		var value once.ClaimRow
		if row.Version > 0 && json.Unmarshal(row.Value, &value) != nil {
			return failed
		}
		next, standing, write := value.Merge(batch.Claims, time.Now())
		if !write {
			return once.ClaimResult{Shard: batch.Shard, Claims: standing}
		}
		err = t.writeClaims(ctx, row, next, attempt)
		var conflict *platform.Conflict
		switch {
		case err == nil:
			return once.ClaimResult{Shard: batch.Shard, Claims: standing}
		case errors.As(err, &conflict):
			// A read may be stale; the row in a conflict is not.
			row, err = conflict.Row, nil
		default:
			row, err = t.claimRow(ctx, batch.Shard)
		}
	}
	return failed
}

func (t *keyTransport) claimRow(ctx context.Context, shard uint32) (platform.Row, error) {
	name := fmt.Sprintf(claimRow, shard)
	row, err := t.platform.ReadRow(ctx, name)
	var notFound *platform.NotFound
	if errors.As(err, &notFound) {
		return platform.Row{Name: name}, nil
	}
	return row, errors.Trace(err)
}

// writeClaims writes the next value of the row. It returns a *platform.Conflict if
// another writer has changed the row.
func (t *keyTransport) writeClaims(ctx context.Context, row platform.Row, next once.ClaimRow, attempt int) error {
	data, err := json.Marshal(next)
	if err != nil {
		return errors.Trace(err)
	}
	id := fmt.Sprintf("%s/%s/%d/%d/%d", t.self, row.Name, row.Version, time.Now().UnixNano(), attempt)
	_, err = t.platform.Commit(ctx, platform.Txn{ID: id, Writes: []platform.Write{{Row: row.Name, Expect: row.Version, Value: data}}})
	return errors.Trace(err)
}

// Transfer implements keys.Transport.
func (t *keyTransport) Transfer(ctx context.Context, tr once.Transfer) (bool, error) {
	msg, body, err := keys.EncodeTransfer(tr)
	if err != nil {
		return false, errors.Trace(err)
	}
	addr, ok := t.address(tr.To)
	if !ok {
		return false, errors.NotFoundf("address of %s", tr.To)
	}
	reply, out, err := t.peers.Call(ctx, addr, &peerpb.Call{Call: &peerpb.Call_KeyTransfer{KeyTransfer: msg}}, body)
	if err != nil {
		return false, errors.Trace(err)
	}
	out.Close()
	if reply.GetAck() == nil {
		return false, errors.New(reply.Error)
	}
	return reply.GetAck().Accepted, nil
}

// ReportRunResults implements keys.Transport.
func (t *keyTransport) ReportRunResults(ctx context.Context, to, from once.Home, records []once.Record) ([]string, error) {
	addr, ok := t.address(to)
	if !ok {
		return nil, errors.NotFoundf("address of %s", to)
	}
	call := &peerpb.Call{Call: &peerpb.Call_KeySettle{KeySettle: &peerpb.KeySettle{
		From: keys.EncodeHome(from), To: keys.EncodeHome(to), Records: keys.EncodeRecords(records),
	}}}
	reply, out, err := t.peers.Call(ctx, addr, call, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	out.Close()
	return reply.GetAck().GetKeys(), nil
}

// AuthorityMoved implements keys.Transport.
func (t *keyTransport) AuthorityMoved(from, to once.Home) { t.control.AnnounceAuthorityMoved(from, to) }
