package publish

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config"
)

// DefaultFetchTimeout limits the duration of one fetch.
const DefaultFetchTimeout = 2 * time.Second

// Fetcher reads heads and objects from sources. Its methods may be called
// concurrently.
type Fetcher interface {
	// Head returns a source's head, or a zero Head if it has none.
	Head(ctx context.Context, from Source) (Head, error)
	// Object returns the object with the digest.
	Object(ctx context.Context, from Source, digest config.Digest) ([]byte, error)
}

// StoreFetcher reads from the platform and from neighbours.
type StoreFetcher struct {
	// Store is the platform.
	Store Store
	// Peers reads from neighbours; if it is nil, these reads fail.
	Peers Fetcher
}

// Head implements Fetcher.
func (f StoreFetcher) Head(ctx context.Context, from Source) (Head, error) {
	if from == Platform {
		return ReadHead(ctx, f.Store)
	}
	if f.Peers == nil {
		return Head{}, errors.Errorf("no session to %s", from)
	}
	return f.Peers.Head(ctx, from)
}

// Object implements Fetcher.
func (f StoreFetcher) Object(ctx context.Context, from Source, digest config.Digest) ([]byte, error) {
	if from == Platform {
		return f.Store.GetObject(ctx, string(digest))
	}
	if f.Peers == nil {
		return nil, errors.Errorf("no session to %s", from)
	}
	return f.Peers.Object(ctx, from, digest)
}

// Runner drives a Receiver from one goroutine.
type Runner struct {
	// Fetcher reads heads and objects.
	Fetcher Fetcher
	// Timeout limits each read; 0 means DefaultFetchTimeout.
	Timeout time.Duration
	// Install is called in the runner's goroutine with each version in turn.
	Install func(*Installed)
	// Events delivers calls of the Receiver's methods VersionAdvertised, Poll and
	// RemoveSource from other goroutines.
	Events <-chan func(*Receiver)
}

// Run drives the receiver until the context ends, then waits for the fetches in
// flight and returns the context's error.
func (r *Runner) Run(ctx context.Context, rec *Receiver) error {
	results := make(chan func(*Receiver))
	events := r.Events
	inFlight := 0
	for {
		inFlight += r.handle(ctx, rec.Ready(), results)
		select {
		case <-ctx.Done():
			for ; inFlight > 0; inFlight-- {
				<-results
			}
			return ctx.Err()
		case event, ok := <-events:
			if !ok {
				events = nil
				continue
			}
			event(rec)
		case result := <-results:
			inFlight--
			result(rec)
		}
	}
}

// handle installs a new version, starts the fetches and returns their number.
func (r *Runner) handle(ctx context.Context, ready Ready, results chan<- func(*Receiver)) int {
	if ready.Install != nil {
		r.Install(ready.Install)
	}
	for _, f := range ready.Fetch {
		go func() { results <- r.fetch(ctx, f) }()
	}
	return len(ready.Fetch)
}

// fetch executes a fetch and returns the call that reports its result to the
// Receiver.
func (r *Runner) fetch(ctx context.Context, f Fetch) func(*Receiver) {
	timeout := r.Timeout
	if timeout == 0 {
		timeout = DefaultFetchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if f.Digest != "" {
		data, err := r.Fetcher.Object(ctx, f.Source, f.Digest)
		if err != nil {
			return func(rec *Receiver) { rec.FetchFailed(f) }
		}
		return func(rec *Receiver) { rec.Object(f, data) }
	}
	head, err := r.Fetcher.Head(ctx, f.Source)
	switch {
	case err != nil:
		return func(rec *Receiver) { rec.FetchFailed(f) }
	case head.Version == 0:
		return func(rec *Receiver) { rec.NoHead(f.Source) }
	}
	return func(rec *Receiver) { rec.HeadReceived(f.Source, head) }
}
