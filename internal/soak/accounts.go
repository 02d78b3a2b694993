package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/banyandeal/banyandeal/internal/wait"
)

// Client accounts: one whose key stays, one whose keys come and go, and one with a quota.
const (
	steadyAccount   = "steady"
	changingAccount = "changing"
	limitedAccount  = "limited"
	steadyKey       = "key-steady"
	limitedKey      = "key-limited"
	// accountCallers is the number of callers that use the two accounts that change, and
	// accountPause the mean time between two requests of one.
	accountCallers = 4
	accountPause   = 60 * time.Millisecond
	// accountInterval is the mean time between two changes of accounts.
	accountInterval = 1200 * time.Millisecond
	// unknownShare is the share of their requests that have a key which no configuration has, and
	// limitedShare that of the account with a quota.
	unknownShare = 0.1
	limitedShare = 0.6
	// quotaWindow, quotaOvershoot and quotaSlack are the operator's tolerance.
	quotaWindow    = 2 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
	// quotaBurst is the burst of the account with a quota.
	quotaBurst = 10
	// quotaBinds is how long after the confirmation of a lower quota it binds, beside a window.
	quotaBinds = maxConfigDelay + time.Second
)

// quotaRates are the quotas in turn, in requests a second.
var quotaRates = []float64{10, 40, 4, 25}

// keySpan is when a key was part of the configuration.
type keySpan struct {
	// added is when the store had confirmed it, removing when the configuration without it was
	// sent, removed when the store had confirmed that; zero before.
	added, removing, removed time.Time
}

// quotaSpan is the time from which on a quota counts, when it was sent, and when a higher one before
// it does not bind any more.
type quotaSpan struct {
	perSecond float64
	sent      time.Time
}

// accounts is what the soak knows of the client accounts.
type accounts struct {
	mu sync.Mutex
	// keys holds all keys of changingAccount that ever were; current holds those that are.
	keys    map[string]*keySpan
	current []string
	quotas  []quotaSpan
}

func newAccounts() *accounts {
	return &accounts{keys: map[string]*keySpan{}, quotas: []quotaSpan{{perSecond: quotaRates[0], sent: time.Now()}}}
}

// encode returns the accounts as the operator writes them.
func (a *accounts) encode() []any {
	a.mu.Lock()
	defer a.mu.Unlock()
	rate := a.quotas[len(a.quotas)-1].perSecond
	return []any{
		map[string]any{"name": steadyAccount, "api_keys": []string{steadyKey}},
		map[string]any{"name": changingAccount, "api_keys": slices.Clone(a.current)},
		map[string]any{"name": limitedAccount, "api_keys": []string{limitedKey}, "rate_per_s": rate, "burst": quotaBurst},
	}
}

// changeAccounts adds and removes keys and changes the quota until ctx is done.
func (e *environment) changeAccounts(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(len(steadyAccount))<<32))
	for n := 0; sleepRandomly(ctx, rng, accountInterval); n++ {
		e.changeAccount(rng, n)
	}
}

// changeAccount makes the n-th change.
func (e *environment) changeAccount(rng *rand.Rand, n int) {
	a := e.accounts
	a.mu.Lock()
	var added, removed string
	switch choice := rng.IntN(3); {
	case choice == 0:
		a.quotas = append(a.quotas, quotaSpan{perSecond: quotaRates[n%len(quotaRates)], sent: time.Now()})
	case choice == 1 && len(a.current) > 0:
		removed = a.current[0]
		a.current = a.current[1:]
		a.keys[removed].removing = time.Now()
	default:
		added = fmt.Sprintf("key-%d-%d", n, rng.Uint64())
		a.current = append(a.current, added)
	}
	a.mu.Unlock()
	e.configure(nil, nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	if added != "" {
		a.keys[added] = &keySpan{added: time.Now()}
	}
	if removed != "" {
		a.keys[removed].removed = time.Now()
	}
}

// anyKey returns the key of a request: that of the account with a quota, one that is or was part of
// the configuration, or one that never was.
func (a *accounts) anyKey(rng *rand.Rand) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := make([]string, 0, len(a.keys))
	for key := range a.keys {
		known = append(known, key)
	}
	slices.Sort(known)
	switch share := rng.Float64(); {
	case share < limitedShare:
		return limitedKey
	case share < limitedShare+unknownShare || len(known) == 0:
		return fmt.Sprintf("unknown-%d", rng.Uint64())
	}
	return known[rng.IntN(len(known))]
}

// sendForAccounts lets callers send requests with the keys of all accounts until ctx is done.
func (c *callerGroup) sendForAccounts(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	for n := range accountCallers {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(n)<<32+1))
			for sleepRandomly(ctx, rng, accountPause) {
				c.sendForAccount(c.environment.anyInstance(rng).address(callerPort), c.environment.accounts.anyKey(rng))
			}
		})
	}
	all.Wait()
}

// sendForAccount sends one request on a connection of its own.
func (c *callerGroup) sendForAccount(address, key string) {
	conn, err := net.DialTimeout("tcp", address, connectTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	r := record{id: c.nextID(), method: http.MethodGet, instance: address, key: key, sent: time.Now()}
	r.path = "/read/" + r.id
	_ = conn.SetDeadline(time.Now().Add(callerTimeout + time.Second))
	if _, err = io.WriteString(conn, formatRequest(r, "")); err == nil {
		reading := &caller{callerGroup: c, reader: bufio.NewReader(conn)}
		_, err = reading.readResponse(&r)
	}
	r.latency, r.err = time.Since(r.sent), err
	c.addRecord(r)
}

// accountViolation describes how a request with a key that changes was handled by a configuration
// that was no longer in force, or not yet. It returns "" if the request was handled as it may be.
func accountViolation(e *environment, r record, faultsBegin time.Time) string {
	bound := e.bindsConfig(r, faultsBegin)
	span, known := e.accounts.spanOf(r.key)
	served := r.status < http.StatusMultipleChoices
	switch {
	case served && !known:
		return fmt.Sprintf("%s to %s was served with a key that never was", r.id, r.instance)
	case served && bound && !span.removed.IsZero() && r.sent.After(span.removed.Add(maxConfigDelay)):
		return fmt.Sprintf("%s to %s was served %s after its key was removed", r.id, r.instance, r.sent.Sub(span.removed))
	case r.status != http.StatusUnauthorized || !known:
	case !span.removing.IsZero() && r.sent.Add(r.latency).After(span.removing):
	case bound && r.sent.After(span.added.Add(maxConfigDelay)):
		return fmt.Sprintf("%s to %s got status 401 %s after its key was added", r.id, r.instance, r.sent.Sub(span.added))
	}
	return ""
}

// spanOf returns when a key was part of the configuration.
func (a *accounts) spanOf(key string) (keySpan, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if key == limitedKey {
		return keySpan{}, true
	}
	span := a.keys[key]
	if span == nil {
		// It is being added, or never was.
		return keySpan{added: time.Now()}, slices.Contains(a.current, key)
	}
	return *span, true
}

// accountOf returns the account of the key of a request.
func accountOf(key string) string {
	switch key {
	case "", steadyKey:
		return steadyAccount
	case limitedKey:
		return limitedAccount
	}
	return changingAccount
}

// quotaViolations returns the windows in which more requests of the account with a quota ran than it
// allows, on all backend servers together, whatever has happened to instances.
func quotaViolations(e *environment) []string {
	var runs []time.Time
	for _, all := range e.arrivals() {
		for _, a := range all {
			if a.Ran && a.Account == limitedAccount {
				runs = append(runs, a.At)
				break
			}
		}
	}
	slices.SortFunc(runs, time.Time.Compare)
	first := 0
	for i, at := range runs {
		for at.Sub(runs[first]) >= quotaWindow {
			first++
		}
		allowed := (e.accounts.highestQuota(runs[first], at)*quotaWindow.Seconds()+quotaBurst)*(1+quotaOvershoot) + quotaSlack
		if float64(i-first+1) > allowed {
			return []string{fmt.Sprintf("%d requests of the account with a quota ran within %s, %.0f are allowed", i-first+1, at.Sub(runs[first]), allowed)}
		}
	}
	return nil
}

// highestQuota returns the highest rate that may be in force between two times. A lower one binds
// a window after all instances must know it; while the store is disturbed they need not.
func (a *accounts) highestQuota(from, to time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	highest := 0.0
	for n, q := range a.quotas {
		ended := n+1 < len(a.quotas) && from.After(a.quotas[n+1].sent.Add(quotaBinds+quotaWindow))
		if !q.sent.After(to) && !ended {
			highest = max(highest, q.perSecond)
		}
	}
	return highest
}

// pauseBeforeChange is how long accounts stay as they are at first, so that requests of the planned
// phase have a key that all instances know.
const pauseBeforeChange = 500 * time.Millisecond

// useAccounts lets callers use accounts that change, until ctx is done.
func (c *callerGroup) useAccounts(ctx context.Context, seed uint64) {
	var both sync.WaitGroup
	both.Go(func() {
		wait.Sleep(ctx, pauseBeforeChange)
		c.environment.changeAccounts(ctx, seed)
	})
	both.Go(func() { c.sendForAccounts(ctx, seed) })
	both.Wait()
}
