package control

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config"
	"github.com/banyandeal/banyandeal/internal/config/publish"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
)

// configState tracks the active configuration and the fetch of the next one.
type configState struct {
	receiver *publish.Receiver
	// addrs is the peer address of each known neighbour.
	addrs map[publish.Source]string
	// activeSince is when this instance activated the current version.
	activeSince time.Time
}

// newConfigState returns the state of a new instance. Before it accepts a
// version, the instance asks the platform, whose version may be outdated, and
// the configured neighbours.
func newConfigState(self string, neighbours []string) *configState {
	s := &configState{addrs: map[publish.Source]string{}}
	sources := []publish.Source{publish.Platform}
	for _, addr := range neighbours {
		if addr != self {
			s.addrs[publish.Source(addr)] = addr
			sources = append(sources, publish.Source(addr))
		}
	}
	s.receiver = publish.NewReceiver(sources...)
	return s
}

// recordVersion records the version that a neighbour reports as active. A new
// instance asks a neighbour that it did not know, and that has a version,
// before it accepts a version.
func (s *configState) recordVersion(from publish.Source, addr string, version uint64) {
	if _, known := s.addrs[from]; !known && version > 0 {
		s.receiver.AddInitialSource(from)
	}
	s.addrs[from] = addr
	s.receiver.VersionAdvertised(from, version)
}

// forget removes a neighbour that is gone.
func (s *configState) forget(from publish.Source) {
	delete(s.addrs, from)
	s.receiver.RemoveSource(from)
}

// pollConfig starts a read of the configuration head from the platform. Only
// relays and instances without a configuration poll it.
func (c *Control) pollConfig() {
	if c.isRelay() || c.config.receiver.Current() == nil {
		c.config.receiver.Poll(publish.Platform)
	}
}

// handleConfigOutput starts the fetches that the receiver requests, and
// installs a new version.
func (c *Control) handleConfigOutput(now time.Time) {
	ready := c.config.receiver.Ready()
	for _, f := range ready.Fetch {
		addr := c.config.addrs[f.Source]
		c.start(func(ctx context.Context) { c.fetch(ctx, f, addr) })
	}
	if ready.Install != nil {
		c.install(now, ready.Install)
	}
}

// fetch fetches a head or an object and passes the result to the receiver.
func (c *Control) fetch(ctx context.Context, f publish.Fetch, addr string) {
	ctx, cancel := context.WithTimeout(ctx, publish.DefaultFetchTimeout)
	defer cancel()
	fetcher := publish.StoreFetcher{Store: c.Platform, Peers: neighbourFetcher{c, addr}}
	if f.Digest == "" {
		head, err := fetcher.Head(ctx, f.Source)
		if f.Source == publish.Platform {
			c.recordPlatformResult(err)
		}
		c.post(func(time.Time) {
			if err != nil {
				c.config.receiver.FetchFailed(f)
				return
			}
			c.config.receiver.HeadReceived(f.Source, head)
		})
		return
	}
	data, err := fetcher.Object(ctx, f.Source, f.Digest)
	c.post(func(time.Time) {
		if err != nil {
			c.config.receiver.FetchFailed(f)
			return
		}
		c.config.receiver.Object(f, data)
	})
}

// neighbourFetcher fetches heads and objects from one neighbour.
type neighbourFetcher struct {
	c    *Control
	addr string
}

// Head implements publish.Fetcher.
func (n neighbourFetcher) Head(ctx context.Context, _ publish.Source) (publish.Head, error) {
	data, err := n.get(ctx, "")
	if err != nil || len(data) == 0 {
		return publish.Head{}, err
	}
	return publish.DecodeHead(data)
}

// Object implements publish.Fetcher.
func (n neighbourFetcher) Object(ctx context.Context, _ publish.Source, d config.Digest) ([]byte, error) {
	return n.get(ctx, d)
}

func (n neighbourFetcher) get(ctx context.Context, d config.Digest) ([]byte, error) {
	call := &peerpb.Call{Call: &peerpb.Call_ConfigFetch{ConfigFetch: &peerpb.ConfigFetch{Digest: string(d)}}}
	reply, body, err := n.c.Peers.Call(ctx, n.addr, call, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer body.Close()
	if !reply.GetConfigPart().GetFound() {
		return nil, errors.NotFoundf("configuration object %q at %s", d, n.addr)
	}
	data, err := io.ReadAll(body)
	return data, errors.Trace(err)
}

// object returns the object of the active version with the given digest, or the
// head if the digest is empty. cur is nil if no version is active.
func object(cur *publish.Installed, digest config.Digest) ([]byte, bool) {
	if cur == nil {
		return nil, false
	}
	if digest == "" {
		data, err := cur.Head.Encode()
		return data, err == nil
	}
	return cur.Object(digest)
}

// install activates a version of the configuration.
func (c *Control) install(now time.Time, in *publish.Installed) {
	if err := c.steer.install(in); err != nil {
		// Every part has matched its digest, so the content itself is invalid,
		// and the previous version stays active. The receiver still keeps this
		// version: it is not fetched again, and neighbours may fetch it from
		// here.
		c.Log.Error().Err(err).Uint64("version", in.Head.Version).Msg("config_unusable")
		return
	}
	c.config.activeSince = now
	c.dirty = true
	c.Log.Info().Uint64("version", in.Head.Version).Str("author", in.Head.Author).
		Int("changed_parts", len(in.Changed)).Msg("config_in_force")
	c.Metrics.Count("config.installed")
	c.retarget(now)
	c.updateOwnershipBackends(now)
	c.updateHealthBackends(now)
	c.updateLinkCaps(now)
	c.sendHeartbeats()
}

// isShard reports whether a part holds client blocks.
func isShard(part string) bool { return strings.HasPrefix(part, "blocks/") }
