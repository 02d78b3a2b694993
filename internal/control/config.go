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

// configState is the configuration in force and the way to the next one.
type configState struct {
	receiver *publish.Receiver
	// addrs holds the peer address of each neighbour that was heard.
	addrs map[publish.Source]string
	// inForce is when the current version was put in force here.
	inForce time.Time
}

// newConfigState returns the state of a new instance. It asks the platform,
// whose answer may be old, and the configured neighbours before it takes a
// version.
func newConfigState(self string, neighbours []string) *configState {
	s := &configState{addrs: map[publish.Source]string{}}
	ask := []publish.Source{publish.Platform}
	for _, addr := range neighbours {
		if addr != self {
			s.addrs[publish.Source(addr)] = addr
			ask = append(ask, publish.Source(addr))
		}
	}
	s.receiver = publish.NewReceiver(ask...)
	return s
}

// heard notes the version that a neighbour says it has in force. A new instance
// asks one that it hears of for the first time before it takes a version.
func (s *configState) heard(from publish.Source, addr string, version uint64) {
	if _, known := s.addrs[from]; !known && version > 0 {
		s.receiver.AddInitialSource(from)
	}
	s.addrs[from] = addr
	s.receiver.VersionAdvertised(from, version)
}

// forget drops a neighbour that is gone.
func (s *configState) forget(from publish.Source) {
	delete(s.addrs, from)
	s.receiver.RemoveSource(from)
}

// pollConfig reads the head from the platform. Relays do, and an instance
// without a configuration.
func (c *Control) pollConfig() {
	if c.isRelay() || c.config.receiver.Current() == nil {
		c.config.receiver.Poll(publish.Platform)
	}
}

// settleConfig starts the fetches that the receiver asks for and puts a new
// version in force.
func (c *Control) settleConfig(now time.Time) {
	ready := c.config.receiver.Ready()
	for _, f := range ready.Fetch {
		addr := c.config.addrs[f.Source]
		c.start(func(ctx context.Context) { c.fetch(ctx, f, addr) })
	}
	if ready.Install != nil {
		c.install(now, ready.Install)
	}
}

func (c *Control) fetch(ctx context.Context, f publish.Fetch, addr string) {
	ctx, cancel := context.WithTimeout(ctx, publish.DefaultFetchTimeout)
	defer cancel()
	fetcher := publish.StoreFetcher{Store: c.Platform, Peers: neighbourFetcher{c, addr}}
	if f.Digest == "" {
		head, err := fetcher.Head(ctx, f.Source)
		if f.Source == publish.Platform {
			c.platformCall(err)
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

// neighbourFetcher reads heads and objects from one neighbour.
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

// object answers a neighbour's fetch from the version in force, which may be
// none.
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

// install puts a version in force.
func (c *Control) install(now time.Time, in *publish.Installed) {
	if err := c.steer.install(in); err != nil {
		// Every part was checked against its digest, so the content itself is
		// at fault and the version before stays in force. The receiver has it
		// nonetheless: it is not fetched again, and neighbours may have it.
		c.Log.Error().Err(err).Uint64("version", in.Head.Version).Msg("config_unusable")
		return
	}
	c.config.inForce = now
	c.dirty = true
	c.Log.Info().Uint64("version", in.Head.Version).Str("author", in.Head.Author).
		Int("changed_parts", len(in.Changed)).Msg("config_in_force")
	c.Metrics.Count("config.installed")
	c.retarget(now)
	c.installBackends(now)
	c.installHealth(now)
	c.installLinks(now)
	c.sendHeartbeats()
}

// isShard reports whether a part holds client blocks.
func isShard(part string) bool { return strings.HasPrefix(part, "blocks/") }
