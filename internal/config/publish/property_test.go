package publish

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/estate"
)

// Runs random interleavings of operators, lost and delayed writes, stale reads,
// outages, corrupted objects and restarts. The version of each receiver must only
// increase, every version must have one content, no change may take effect twice,
// and the outcome reported to an operator must be true. Once the faults end, all
// receivers must reach the latest version.
func TestVersionsOnlyIncrease(t *testing.T) {
	weights := []string{"0.3", "0.4", "0.5", "0.6"}
	estates := make([]*estate.Estate, len(weights))
	for i, w := range weights {
		estates[i] = smallEstate(t, w)
	}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, estates)
		actions := map[string]func(*rapid.T){
			"begin": m.begin, "operate": m.operate, "fault": m.fault, "settle": func(*rapid.T) { m.store.applyDelayed() },
			"poll": m.poll, "gossip": m.gossip, "answer": m.answer, "serve": m.serve, "refresh": m.refresh, "apply": m.apply, "restart": m.restart, "forget": m.forget,
			"": m.check,
		}
		t.Repeat(actions)
		m.converge(t)
	})
}

const modelReceivers = 3

type model struct {
	estates   []*estate.Estate
	store     *fakeStore
	operators []*Applier
	receivers []*instance
	// highestVersions holds the highest version that each receiver has had since
	// its last restart.
	highestVersions []uint64
	// roots holds the root digest with which receivers installed each version.
	roots map[uint64]config.Digest
	// reportedFailed holds the ids of the changes that were reported to an operator
	// as not in force.
	reportedFailed map[string]bool
	changes        int
}

func newModel(t *rapid.T, estates []*estate.Estate) *model {
	m := &model{estates: estates, store: newFakeStore(), roots: map[uint64]config.Digest{}, reportedFailed: map[string]bool{}}
	m.operators = make([]*Applier, 2)
	m.receivers = make([]*instance, modelReceivers)
	m.highestVersions = make([]uint64, modelReceivers)
	for i := range m.receivers {
		m.newReceiver(i)
	}
	return m
}

func (m *model) name(i int) Source { return Source(fmt.Sprint(i)) }

func (m *model) newReceiver(i int) {
	ask := []Source{Platform}
	for j := range m.receivers {
		if j != i {
			ask = append(ask, m.name(j))
		}
	}
	m.receivers[i] = &instance{Receiver: NewReceiver(ask...)}
	m.highestVersions[i] = 0
	m.collectFetches(i)
}

func (m *model) collectFetches(i int) {
	ready := m.receivers[i].Ready()
	m.receivers[i].fetches = append(m.receivers[i].fetches, ready.Fetch...)
}

// begin starts an apply of one operator from the version that it reads, which may
// be stale.
func (m *model) begin(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "operator")
	if m.operators[i] != nil {
		t.Skip("busy")
	}
	m.changes++
	row := m.store.rowAt(rapid.IntRange(0, 1).Draw(t, "behind"))
	e := rapid.SampledFrom(m.estates).Draw(t, "estate")
	m.operators[i] = NewApplier(e, options(fmt.Sprint("op", i), fmt.Sprint("c", m.changes), row.Version))
}

func (m *model) operate(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "operator")
	if m.operators[i] == nil {
		t.Skip("idle")
	}
	m.step(t, i)
}

// apply runs the apply of one operator to its end.
func (m *model) apply(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "operator")
	m.runToEnd(t, i)
}

func (m *model) runToEnd(t *rapid.T, i int) {
	for n := 0; m.operators[i] != nil; n++ {
		require.Less(t, n, 200, "the apply of operator %d does not end", i)
		m.step(t, i)
	}
}

func (m *model) step(t *rapid.T, i int) {
	a := m.operators[i]
	act := a.Ready()
	switch {
	case act.Done != nil:
		m.requireInForce(t, a, act.Done.Head)
		m.operators[i] = nil
	case act.Err != nil:
		var unknown *UnsettledError
		if !errors.As(act.Err, &unknown) {
			m.reportedFailed[a.opts.ChangeID] = true
		}
		m.operators[i] = nil
	default:
		perform(context.Background(), m.store, a, act)
	}
}

func (m *model) requireInForce(t *rapid.T, a *Applier, head Head) {
	got, err := headOf(m.store.history[head.Version-1])
	require.NoError(t, err)
	require.Equal(t, a.opts.ChangeID, got.ChangeID)
	require.Equal(t, got.Root, head.Root)
}

func (m *model) fault(t *rapid.T) {
	m.store.down = rapid.IntRange(0, 3).Draw(t, "down") == 0
	m.store.versionsBehind = rapid.IntRange(0, 2).Draw(t, "back")
	m.store.nextFault = rapid.SampledFrom([]commitFault{"", replyLost, requestLost, writeDelayed}).Draw(t, "commit")
}

func (m *model) drawReceiver(t *rapid.T) int {
	return rapid.IntRange(0, modelReceivers-1).Draw(t, "receiver")
}

func (m *model) poll(t *rapid.T) {
	i := m.drawReceiver(t)
	m.receivers[i].Poll(Platform)
	m.collectFetches(i)
}

func (m *model) gossip(t *rapid.T) {
	i, from := m.drawReceiver(t), m.drawReceiver(t)
	m.receivers[i].VersionAdvertised(m.name(from), m.receivers[from].Version())
	m.collectFetches(i)
}

func (m *model) restart(t *rapid.T) { m.newReceiver(m.drawReceiver(t)) }

func (m *model) forget(t *rapid.T) {
	i := m.drawReceiver(t)
	m.receivers[i].RemoveSource(m.name(m.drawReceiver(t)))
	m.collectFetches(i)
}

// answer completes one fetch of one receiver, in any order.
func (m *model) answer(t *rapid.T) {
	i := m.drawReceiver(t)
	r := m.receivers[i]
	if len(r.fetches) == 0 {
		t.Skip("no fetch")
	}
	k := rapid.IntRange(0, len(r.fetches)-1).Draw(t, "fetch")
	f := r.fetches[k]
	r.fetches = slices.Delete(r.fetches, k, k+1)
	m.reply(r, f, rapid.SampledFrom([]string{"whole", "whole", "whole", "fail", "garble", "swap"}).Draw(t, "reply"))
	m.collectFetches(i)
}

func (m *model) reply(r *instance, f Fetch, how string) {
	head, data, ok := m.readSource(f)
	switch {
	case how == "fail" || !ok:
		r.FetchFailed(f)
	case f.Digest != "" && how == "garble":
		r.Object(f, append(slices.Clone(data), 'x'))
	case f.Digest != "" && how == "swap":
		r.Object(f, m.anyManifest())
	case f.Digest != "":
		r.Object(f, data)
	case head.Version == 0:
		r.NoHead(f.Source)
	default:
		r.HeadReceived(f.Source, head)
	}
}

// anyManifest returns the manifest of the first version.
func (m *model) anyManifest() []byte {
	if len(m.store.history) == 0 {
		return nil
	}
	head, _ := headOf(m.store.history[0])
	return m.store.objects[string(head.Manifest)]
}

// refresh polls the head for one receiver and completes all its fetches.
func (m *model) refresh(t *rapid.T) {
	i := m.drawReceiver(t)
	m.receivers[i].Poll(Platform)
	m.collectFetches(i)
	m.answerAll(t, i)
}

// serve completes all fetches of one receiver.
func (m *model) serve(t *rapid.T) { m.answerAll(t, m.drawReceiver(t)) }

func (m *model) readSource(f Fetch) (head Head, data []byte, ok bool) {
	if f.Source == Platform {
		if f.Digest != "" {
			data, err := m.store.GetObject(context.Background(), string(f.Digest))
			return Head{}, data, err == nil
		}
		head, err := ReadHead(context.Background(), m.store)
		return head, nil, err == nil
	}
	var i int
	_, _ = fmt.Sscan(string(f.Source), &i)
	c := m.receivers[i].Current()
	switch {
	case c == nil:
		return Head{}, nil, f.Digest == ""
	case f.Digest == "":
		return c.Head, nil, true
	}
	data, ok = c.Object(f.Digest)
	return Head{}, data, ok
}

func (m *model) check(t *rapid.T) {
	for i, r := range m.receivers {
		v := r.Version()
		require.GreaterOrEqual(t, v, m.highestVersions[i], "the version of receiver %d decreased", i)
		m.highestVersions[i] = v
		if v == 0 {
			continue
		}
		root := r.Current().Assembly.Root()
		if known, ok := m.roots[v]; ok {
			require.Equal(t, known, root, "version %d has two contents", v)
		}
		m.roots[v] = root
		head, err := headOf(m.store.history[v-1])
		require.NoError(t, err)
		require.Equal(t, head.Root, root)
		require.Zero(t, r.Mismatches())
	}
	m.checkHistory(t)
}

func (m *model) checkHistory(t *rapid.T) {
	ids := map[string]bool{}
	for i, row := range m.store.history {
		require.Equal(t, uint64(i+1), row.Version)
		require.False(t, ids[row.ChangeID], "change %s took effect twice", row.ChangeID)
		require.False(t, m.reportedFailed[row.ChangeID], "change %s was reported as failed but took effect", row.ChangeID)
		ids[row.ChangeID] = true
	}
}

// converge ends the faults and requires that all receivers reach the latest
// version.
func (m *model) converge(t *rapid.T) {
	m.store.down, m.store.versionsBehind, m.store.nextFault = false, 0, ""
	m.store.applyDelayed()
	for i := range m.operators {
		m.runToEnd(t, i)
	}
	for i := range m.receivers {
		m.receivers[i].Poll(Platform)
		m.collectFetches(i)
		m.answerAll(t, i)
		m.receivers[i].Poll(Platform) // the head fetched before the faults ended may have been stale
		m.collectFetches(i)
		m.answerAll(t, i)
		require.Equal(t, m.store.rowAt(0).Version, m.receivers[i].Version(), "receiver %d", i)
	}
	m.check(t)
}

func (m *model) answerAll(t *rapid.T, i int) {
	r := m.receivers[i]
	for n := 0; len(r.fetches) > 0; n++ {
		require.Less(t, n, 1000, "receiver %d does not stop fetching", i)
		f := r.fetches[0]
		r.fetches = r.fetches[1:]
		m.reply(r, f, "whole")
		m.collectFetches(i)
	}
}
