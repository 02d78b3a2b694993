package publish

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config"
)

// DefaultFetchTimeout bounds one fetch.
const DefaultFetchTimeout = 2 * time.Second

// Fetcher reads from one source.
type Fetcher interface {
	// Head returns a source's head; a zero Head if it has none.
	Head(ctx context.Context, from Source) (Head, error)
	// Object returns an object by digest.
	Object(ctx context.Context, from Source, digest config.Digest) ([]byte, error)
}

// StoreFetcher reads from the platform, and from neighbours through Peers,
// which may be nil.
type StoreFetcher struct {
	Store Store
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
	// Fetcher reads heads and objects; Timeout bounds each read, 0 is
	// DefaultFetchTimeout.
	Fetcher Fetcher
	Timeout time.Duration
	// Install is called in the runner's goroutine with each version in turn.
	Install func(*Installed)
	// Events brings calls of the Receiver's methods VersionAdvertised, Poll and RemoveSource
	// from outside.
	Events <-chan func(*Receiver)
}

// Run drives the receiver until the context ends, and then waits for its
// fetches.
func (r *Runner) Run(ctx context.Context, rec *Receiver) error {
	answers := make(chan func(*Receiver))
	events := r.Events
	inFlight := 0
	for {
		inFlight += r.handle(ctx, rec.Ready(), answers)
		select {
		case <-ctx.Done():
			for ; inFlight > 0; inFlight-- {
				<-answers
			}
			return ctx.Err()
		case event, ok := <-events:
			if !ok {
				events = nil
				continue
			}
			event(rec)
		case answer := <-answers:
			inFlight--
			answer(rec)
		}
	}
}

// handle starts what a Ready asks for and returns the number of fetches.
func (r *Runner) handle(ctx context.Context, ready Ready, answers chan<- func(*Receiver)) int {
	if ready.Install != nil {
		r.Install(ready.Install)
	}
	for _, f := range ready.Fetch {
		go func() { answers <- r.fetch(ctx, f) }()
	}
	return len(ready.Fetch)
}

// fetch returns the event that a fetch ends in.
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
		return func(rec *Receiver) { rec.ObjectReceived(f, data) }
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
