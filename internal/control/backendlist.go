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

// maxBackendListAge is the interval at which an unchanged backend list is
// published again.
const maxBackendListAge = 5 * time.Second

// listedBackends is the value of a recordBackends record: the zone's backend
// servers that the platform's list names. The value is true for a backend
// server that is leaving.
type listedBackends map[string]bool

// listEntry identifies a backend server that a list has named, and the instance
// that read the list. Entries are kept by reader because the lists of different
// readers may lag by different times.
type listEntry struct{ reader, backend string }

// sentBackendList is the backend list that this instance last published.
type sentBackendList struct {
	backends listedBackends
	at       time.Time
}

// handleBackendList applies the zone's part of the platform's list to the
// health machine, and publishes it to the owners in the zone. Only relays read
// the list.
func (c *Control) handleBackendList(now time.Time, list []platform.Instance) {
	listed := c.zoneBackendList(list)
	c.applyBackendList(now, c.Self.ID, listed)
	sentList := &c.health.sentList
	changed := !maps.Equal(listed, sentList.backends)
	if !changed && now.Sub(sentList.at) < maxBackendListAge {
		return
	}
	*sentList = sentBackendList{listed, now}
	c.logError("backend_list_record_failed", c.records.set(now, c.records.local, recordBackends, listed))
	if changed {
		c.sendHeartbeats()
	}
}

// zoneBackendList returns the entries of the platform's list for the backend
// servers of the own zone.
func (c *Control) zoneBackendList(list []platform.Instance) listedBackends {
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

// handleBackendListRecord applies the backend list that a relay of the zone
// published.
func (c *Control) handleBackendListRecord(now time.Time, rec refresh.Record) {
	var listed listedBackends
	if json.Unmarshal(rec.Value, &listed) == nil {
		c.applyBackendList(now, rec.Owner, listed)
	}
}

// applyListedLeaving signals to the health machine which owned backend servers
// are leaving according to the last list. It is needed for backend servers
// whose ownership began after that list was received.
func (c *Control) applyListedLeaving(now time.Time) {
	for name, leaving := range c.health.lastList {
		if leaving && c.owners.owned[name] != nil {
			c.health.machine.Step(health.Event{Name: name, Source: health.List, Signal: health.Leaving, At: now})
		}
	}
}

// applyBackendList signals the listed states of the owned backend servers to
// the health machine. The absence of a backend server counts only if an earlier
// list of the same reader has named it.
func (c *Control) applyBackendList(now time.Time, reader string, listed listedBackends) {
	c.health.lastList = listed
	for name := range listed {
		c.health.listed[listEntry{reader, name}] = true
	}
	for name := range c.owners.owned {
		leaving, ok := listed[name]
		if !ok && !c.health.listed[listEntry{reader, name}] {
			continue
		}
		signal := health.OK
		switch {
		case !ok:
			signal = health.Delisted
		case leaving:
			signal = health.Leaving
		}
		c.health.machine.Step(health.Event{Name: name, Source: health.List, Signal: signal, At: now})
	}
}
