package membership

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/decide/peers"
	"github.com/banyandeal/banyandeal/internal/edge/relay"
	"github.com/banyandeal/banyandeal/internal/edge/traffic"
)

// world is the surroundings of one instance whose links can be cut.
type world struct {
	cut     atomic.Bool
	mu      sync.Mutex
	joins   int
	evicted []string
}

// Check implements Checker.
func (w *world) Check(context.Context, string, time.Duration, *peers.Findings) error {
	if w.cut.Load() {
		time.Sleep(100 * time.Millisecond)
		return &relay.UnreachableError{}
	}
	return nil
}

// Join implements Registration.
func (w *world) Join(context.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.joins++
	return nil
}

// Evict implements Registration; a call to a store that cannot be reached takes 1 s (connectTimeout).
func (w *world) Evict(_ context.Context, m traffic.Member) error {
	if w.cut.Load() {
		time.Sleep(time.Second)
		return errors.New("cut")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evicted = append(w.evicted, m.Name)
	return nil
}

// tablesRead returns when the operator's table was last read: not in a cut.
func (w *world) tablesRead() time.Time {
	if w.cut.Load() {
		return time.Time{}
	}
	return time.Now()
}

// Members implements Leaders.
func (w *world) Members([]string, map[string]string) {}

func rows(count int) []traffic.Member {
	var all []traffic.Member
	for i := range count {
		name := fmt.Sprint("front-", i)
		all = append(all, traffic.Member{Name: name, Zone: "z", Peer: name, Incarnation: 1, RowVersion: uint64(i + 1)})
	}
	return all
}

func start(t *testing.T, w *world, self traffic.Member, members func() []traffic.Member) {
	m := New(Config{
		Settings: &traffic.Settings{RegionOf: map[string]string{"z": "r"}}, Self: self, Members: members,
		Stopping: func() bool { return false }, TablesRead: w.tablesRead, Registration: w, Checker: w, Leaders: w, Log: zerolog.Nop(),
	})
	go m.Run(t.Context())
}

// TestHealedInstanceEvictsNobodyAlive guards against verdicts that are carried out after their
// evidence has lapsed: an instance is cut off for 10 s, then everything is
// well again.
func TestHealedInstanceEvictsNobodyAlive(t *testing.T) {
	all := rows(40)
	w := &world{}
	w.cut.Store(true)
	start(t, w, all[0], func() []traffic.Member { return all })
	time.Sleep(12 * time.Second)
	w.cut.Store(false)
	time.Sleep(3 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Empty(t, w.evicted, "%d of 39 living instances evicted after the cut had ended", len(w.evicted))
}

// TestLateViewWritesRowOnce guards against a row that is written again and again: the row of this instance is written; its feed is 6 s late.
func TestLateViewWritesRowOnce(t *testing.T) {
	all := rows(3)
	w := &world{}
	start(t, w, all[0], func() []traffic.Member { return all[1:] })
	time.Sleep(7 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	require.LessOrEqual(t, w.joins, 1)
}
