package publish

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// commitFault is a fault that is injected into one transaction.
type commitFault string

const (
	// replyLost executes the transaction and loses the reply.
	replyLost commitFault = "reply"
	// requestLost doesn't execute the transaction and returns the same error as a
	// lost reply.
	requestLost commitFault = "request"
	// writeDelayed loses the reply and executes the transaction only when
	// applyDelayed is called.
	writeDelayed commitFault = "late"
)

// fakeStore is a Store in memory that keeps all versions of the head.
type fakeStore struct {
	mu      sync.Mutex
	history []platform.Row
	objects map[string][]byte
	// delayed holds the transactions that applyDelayed executes.
	delayed []platform.Txn
	// down makes every call fail before it takes effect.
	down           bool
	nextFault      commitFault
	versionsBehind int
}

func newFakeStore() *fakeStore { return &fakeStore{objects: map[string][]byte{}} }

func (s *fakeStore) unavailable(op string) error {
	if s.down {
		return &platform.Unavailable{Op: op, Cause: errors.New("it is down")}
	}
	return nil
}

func (s *fakeStore) rowAt(back int) platform.Row {
	if i := len(s.history) - 1 - back; i >= 0 {
		return s.history[i]
	}
	return platform.Row{Name: HeadRow}
}

func (s *fakeStore) ReadRow(_ context.Context, name string) (platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.rowAt(s.versionsBehind)
	if row.Version == 0 && !s.down {
		return row, &platform.NotFound{Resource: "row", Name: name}
	}
	return row, s.unavailable("read")
}

func (s *fakeStore) Commit(_ context.Context, txn platform.Txn) ([]platform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.unavailable("transaction"); err != nil {
		return nil, err
	}
	fault := s.nextFault
	s.nextFault = ""
	lost := &platform.ReplyLost{ChangeID: txn.ID, Cause: errors.New("connection reset")}
	switch fault {
	case requestLost:
		return nil, lost
	case writeDelayed:
		s.delayed = append(s.delayed, txn)
		return nil, lost
	}
	row, err := s.write(txn)
	if fault == replyLost {
		return nil, lost
	}
	return []platform.Row{row}, err
}

func (s *fakeStore) write(txn platform.Txn) (platform.Row, error) {
	now := s.rowAt(0)
	if w := txn.Writes[0]; now.Version != w.Expect {
		return now, &platform.Conflict{Row: now, Expected: w.Expect}
	}
	row := platform.Row{Name: HeadRow, Version: now.Version + 1, ChangeID: txn.ID, Value: txn.Writes[0].Value}
	s.history = append(s.history, row)
	return row, nil
}

// applyDelayed executes the delayed transactions.
func (s *fakeStore) applyDelayed() {
	for _, txn := range s.delayed {
		_, _ = s.write(txn) // a delayed transaction may conflict with newer versions
	}
	s.delayed = nil
}

func (s *fakeStore) PutObject(_ context.Context, data []byte) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := string(config.DigestOf(data))
	if err := s.unavailable("put"); err != nil {
		return "", err
	}
	s.objects[digest] = data
	return digest, nil
}

func (s *fakeStore) GetObject(_ context.Context, digest string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[digest]
	if !ok && !s.down {
		return nil, &platform.NotFound{Resource: "object", Name: digest}
	}
	return data, s.unavailable("get")
}

// label returns a name of an object for golden files.
func (s *fakeStore) label(digest config.Digest) string {
	data := s.objects[string(digest)]
	if d, err := config.DecodeDelta(data); err == nil {
		return fmt.Sprintf("delta %d->%d", d.From, d.To)
	}
	if _, err := config.DecodeIndex(data); err == nil {
		return "index"
	}
	for _, page := range s.objects {
		var entries []config.Entry
		if page[0] != '[' || json.Unmarshal(page, &entries) != nil {
			continue
		}
		for _, e := range entries {
			if e.Digest == digest {
				return e.Name
			}
		}
	}
	return "page"
}

// smallEstate returns the estate of ../testdata/small with the given weight of its
// site west-a1.
func smallEstate(t require.TestingT, weight string) *estate.Estate {
	files, err := config.ReadFiles("../testdata/small")
	require.NoError(t, err)
	const overlay = "overlays/west-a1.yaml"
	text := strings.Replace(string(files[overlay]), "weight: 0.5", "weight: "+weight, 1)
	files[overlay] = []byte(text)
	e, err := config.Parse(files)
	require.NoError(t, err)
	return e
}

var testTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func options(author, id string, expect uint64) Options {
	return Options{ExpectVersion: expect, Author: author, ChangeID: id, Note: "test", Now: testTime}
}

// versions returns the history of the head as text, one version a line.
func (s *fakeStore) versions(t testing.TB) string {
	var b strings.Builder
	for _, row := range s.history {
		h, err := headOf(row)
		require.NoError(t, err)
		fmt.Fprintf(&b, "version %d: %s by %s\n", h.Version, h.ChangeID, h.Author)
	}
	return b.String()
}
