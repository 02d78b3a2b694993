package control

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/health"
	"github.com/banyandeal/banyandeal/internal/decide/refresh"
	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/platform"
)

// maxListedAge bounds the age of an unchanged record of listed backend servers.
const maxListedAge = 5 * time.Second

// listedBackends is the value of a recordBackends: the zone's backend servers
// that the list names, by name, and whether they are leaving.
type listedBackends map[string]bool

// listing names a backend server that a list has named, and the instance that
// read it: lists may lag by different times.
type listing struct{ reader, backend string }

// sentListed is what this instance last told its zone of the list.
type sentListed struct {
	backends listedBackends
	at       time.Time
}

// takeBackendList tells the health machine, and the owners in the zone, what
// the platform's list says of the zone's backend servers. Only relays read it.
func (c *Control) takeBackendList(now time.Time, list []platform.Instance) {
	listed := c.listedOf(list)
	c.stepListed(now, c.Self.ID, listed)
	sent := &c.health.sent
	changed := !maps.Equal(listed, sent.backends)
	if !changed && now.Sub(sent.at) < maxListedAge {
		return
	}
	*sent = sentListed{listed, now}
	c.logError("backend_list_record_failed", c.records.set(now, c.records.local, recordBackends, listed))
	if changed {
		c.sendHeartbeats()
	}
}

// listedOf returns the lines of the list that are about the zone's backend
// servers.
func (c *Control) listedOf(list []platform.Instance) listedBackends {
	zone := map[string]bool{}
	c.eachZoneBackend(func(_ *estate.Service, b estate.Backend) { zone[b.Name] = true })
	listed := listedBackends{}
	for _, l := range list {
		if l.Kind == platform.KindBackend && zone[l.ID] {
			listed[l.ID] = l.State == platform.InstanceLeaving
		}
	}
	return listed
}

// takeListed takes what a relay of the zone read.
func (c *Control) takeListed(now time.Time, rec refresh.Record) {
	var listed listedBackends
	if json.Unmarshal(rec.Value, &listed) == nil {
		c.stepListed(now, rec.Owner, listed)
	}
}

// stepLeaving tells the health machine which backend servers the last list
// calls leaving, for those that this instance has only begun to own.
func (c *Control) stepLeaving(now time.Time) {
	for name, leaving := range c.health.last {
		if leaving && c.owners.held[name] != nil {
			c.health.machine.Step(health.Event{Name: name, Source: health.List, Signal: health.Leaving, At: now})
		}
	}
}

// stepListed tells the health machine of the owned backend servers. Only the
// absence of one that the same reader's list has named means anything.
func (c *Control) stepListed(now time.Time, reader string, listed listedBackends) {
	c.health.last = listed
	for name := range listed {
		c.health.listed[listing{reader, name}] = true
	}
	for name := range c.owners.held {
		leaving, ok := listed[name]
		if !ok && !c.health.listed[listing{reader, name}] {
			continue
		}
		news := health.OK
		switch {
		case !ok:
			news = health.Delisted
		case leaving:
			news = health.Leaving
		}
		c.health.machine.Step(health.Event{Name: name, Source: health.List, Signal: news, At: now})
	}
}
