package control

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/load"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/refresh"
)

const (
	// reportersPerBeat is how many load reports of one zone there may be in a
	// heartbeat's time: in a larger zone each instance reports less often.
	reportersPerBeat = 16
	// zoneLoadPeriod is the period of a zone's report to other zones.
	zoneLoadPeriod = time.Second
	// maxReportAge bounds the age of an unchanged report.
	maxReportAge = time.Second
)

// sentLoads is what this instance last reported.
type sentLoads struct {
	own, zone     loadReport
	ownAt, zoneAt time.Time
}

// loadReport is the value of a load record, by service.
type loadReport map[string]reportedLoad

// reportedLoad is what is in use of a service.
type reportedLoad struct {
	Busy  load.MilliSlots `json:"busy"`
	Slots int             `json:"slots"`
}

func (r loadReport) reports(at time.Time) map[string]load.Report {
	out := make(map[string]load.Report, len(r))
	for name, l := range r {
		out[name] = load.Report{Busy: l.Busy, Slots: l.Slots, At: at}
	}
	return out
}

// publishLoads writes this instance's load record, and its zone's if it is the
// zone's first relay. A report that has not changed is only repeated to show
// that it is not old.
func (c *Control) publishLoads(now time.Time) {
	if c.steer.estate == nil {
		return
	}
	own := c.ownLoad()
	c.steer.loads[c.Self.Identity] = own.reports(now)
	sent := &c.steer.sent
	zone := c.members.View().Zone(c.Self.Zone)
	period := c.Settings.Timing.HeartbeatInterval * time.Duration(1+len(zone.Instances)/reportersPerBeat)
	if repeat(now, sent.ownAt, period, maps.Equal(own, sent.own)) {
		sent.own, sent.ownAt = own, now
		c.logError("load_record_failed", c.records.set(now, c.records.local, recordLoad, own))
	}
	if len(zone.Relays) == 0 || zone.Relays[0] != c.Self.Identity {
		return
	}
	sum := c.sumLoads(zone)
	if repeat(now, sent.zoneAt, zoneLoadPeriod, maps.Equal(sum, sent.zone)) {
		sent.zone, sent.zoneAt = sum, now
		c.logError("load_record_failed", c.records.set(now, c.records.global, recordZoneLoad, sum))
	}
}

// repeat reports whether a report is due.
func repeat(now, last time.Time, period time.Duration, same bool) bool {
	if same {
		period = max(period, maxReportAge)
	}
	return now.Sub(last) >= period
}

// ownLoad is what this instance has of each service.
func (c *Control) ownLoad() loadReport {
	report := make(loadReport, len(c.steer.estate.Services))
	for _, s := range c.steer.estate.Services {
		free, slots := c.Pool.Free(s.Name)
		report[s.Name] = reportedLoad{Busy: load.MilliSlots(slots-free) * load.Slot, Slots: slots}
	}
	return report
}

// sumLoads adds up what the instances of the own zone reported.
func (c *Control) sumLoads(zone membership.ZoneView) loadReport {
	sum := loadReport{}
	for _, in := range zone.Usable() {
		for name, rep := range c.steer.loads[in.Identity] {
			l := sum[name]
			l.Busy += rep.Busy
			l.Slots += rep.Slots
			sum[name] = l
		}
	}
	return sum
}

func (c *Control) takeLoad(now time.Time, rec refresh.Record) {
	var report loadReport
	id := membership.Identity{ID: rec.Owner, Incarnation: rec.Incarnation}
	// The record may be here before that of its instance.
	if c.isGone(id) || json.Unmarshal(rec.Value, &report) != nil {
		return
	}
	c.reported(report, c.steer.loads[id])
	c.steer.loads[id] = report.reports(now)
}

func (c *Control) takeZoneLoad(now time.Time, rec refresh.Record) {
	var report loadReport
	zone, ok := c.zoneOf(membership.Identity{ID: rec.Owner, Incarnation: rec.Incarnation})
	if !ok || json.Unmarshal(rec.Value, &report) != nil {
		return
	}
	c.reported(report, c.steer.zoneLoads[zone])
	c.steer.zoneLoads[zone] = report.reports(now)
}

// reported has a report published: at once where there are other slots than
// before, at the next tick where only their use differs.
func (c *Control) reported(report loadReport, before map[string]load.Report) {
	c.loadsDirty = true
	for name, l := range report {
		c.dirty = c.dirty || l.Slots != before[name].Slots
	}
}

// zoneOf returns the zone of an instance.
func (c *Control) zoneOf(id membership.Identity) (string, bool) {
	in, ok := c.members.View().Instance(id)
	return in.Zone, ok
}

// zoneLoad returns a zone's load of a service: of the own zone the sum of its
// instances' reports, of another one what it reports of itself.
func (c *Control) zoneLoad(zone, service string) (load.Report, bool) {
	if zone != c.Self.Zone {
		rep, ok := c.steer.zoneLoads[zone][service]
		return rep, ok
	}
	var sum load.Report
	for _, in := range c.members.View().Zone(zone).Usable() {
		rep, ok := c.steer.loads[in.Identity][service]
		if !ok {
			continue
		}
		sum.Slots += rep.Slots
		sum.Busy += rep.Busy
		if sum.At.IsZero() || rep.At.Before(sum.At) {
			sum.At = rep.At
		}
	}
	return sum, sum.Slots > 0
}
