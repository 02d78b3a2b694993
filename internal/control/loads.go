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
	// reportersPerHeartbeat is the maximum number of load reports in a zone per
	// heartbeat interval. In larger zones each instance reports less often.
	reportersPerHeartbeat = 16
	// zoneLoadInterval is the interval of a zone's load reports to other zones.
	zoneLoadInterval = time.Second
	// maxReportAge is the interval at which an unchanged report is repeated.
	maxReportAge = time.Second
)

// sentLoads holds the load reports that this instance last published.
type sentLoads struct {
	// own is the report of this instance. zone is the report of its zone.
	own, zone loadReport
	// ownAt is when own was published. zoneAt is when zone was published.
	ownAt, zoneAt time.Time
}

// loadReport is the value of a load record. The key is the service name.
type loadReport map[string]serviceLoad

// serviceLoad is the load of one service.
type serviceLoad struct {
	// Busy is the use of the slots, in thousandths of a slot.
	Busy load.MilliSlots `json:"busy"`
	// Slots is the number of slots, in use or free.
	Slots int `json:"slots"`
}

// reports converts a load record to the form in which received loads are kept.
// at is the time that the reports get.
func (r loadReport) reports(at time.Time) map[string]load.Report {
	out := make(map[string]load.Report, len(r))
	for name, l := range r {
		out[name] = load.Report{Busy: l.Busy, Slots: l.Slots, At: at}
	}
	return out
}

// publishLoads writes this instance's load record and, if it is the first relay
// of its zone, the zone's load record. An unchanged report is repeated only so
// that receivers do not treat it as stale.
func (c *Control) publishLoads(now time.Time) {
	if c.steer.estate == nil {
		return
	}
	own := c.ownLoad()
	c.steer.loads[c.Self.Identity] = own.reports(now)
	sent := &c.steer.sent
	zone := c.members.View().Zone(c.Self.Zone)
	period := c.Settings.Timing.HeartbeatInterval * time.Duration(1+len(zone.Instances)/reportersPerHeartbeat)
	if reportDue(now, sent.ownAt, period, maps.Equal(own, sent.own)) {
		sent.own, sent.ownAt = own, now
		c.logError("load_record_failed", c.records.set(now, c.records.local, recordLoad, own))
	}
	if len(zone.Relays) == 0 || zone.Relays[0] != c.Self.Identity {
		return
	}
	sum := c.sumLoads(zone)
	if reportDue(now, sent.zoneAt, zoneLoadInterval, maps.Equal(sum, sent.zone)) {
		sent.zone, sent.zoneAt = sum, now
		c.logError("load_record_failed", c.records.set(now, c.records.global, recordZoneLoad, sum))
	}
}

// reportDue reports whether a load report is due. An unchanged report is due
// after maxReportAge or period, whichever is longer.
func reportDue(now, last time.Time, period time.Duration, unchanged bool) bool {
	if unchanged {
		period = max(period, maxReportAge)
	}
	return now.Sub(last) >= period
}

// ownLoad returns the load of each service on the backend servers that this
// instance owns.
func (c *Control) ownLoad() loadReport {
	report := make(loadReport, len(c.steer.estate.Services))
	for _, s := range c.steer.estate.Services {
		free, slots := c.Pool.Free(s.Name)
		report[s.Name] = serviceLoad{Busy: load.MilliSlots(slots-free) * load.Slot, Slots: slots}
	}
	return report
}

// sumLoads returns the sum of the loads that the usable instances of the own
// zone reported.
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

// handleLoadRecord records the load that an instance of the own zone reported.
func (c *Control) handleLoadRecord(now time.Time, rec refresh.Record) {
	var report loadReport
	id := membership.Identity{ID: rec.Owner, Incarnation: rec.Incarnation}
	// A load record may arrive before the record of its instance, so an unknown
	// instance is accepted.
	if c.isGone(id) || json.Unmarshal(rec.Value, &report) != nil {
		return
	}
	c.markLoadsChanged(report, c.steer.loads[id])
	c.steer.loads[id] = report.reports(now)
}

// handleZoneLoadRecord records the load that another zone reported. The zone is
// that of the record's owner.
func (c *Control) handleZoneLoadRecord(now time.Time, rec refresh.Record) {
	var report loadReport
	zone, ok := c.zoneOf(membership.Identity{ID: rec.Owner, Incarnation: rec.Incarnation})
	if !ok || json.Unmarshal(rec.Value, &report) != nil {
		return
	}
	c.markLoadsChanged(report, c.steer.zoneLoads[zone])
	c.steer.zoneLoads[zone] = report.reports(now)
}

// markLoadsChanged requests a new snapshot after a load report: at once if a
// service's number of slots has changed, at the next tick if only the slots in
// use have changed.
func (c *Control) markLoadsChanged(report loadReport, before map[string]load.Report) {
	c.loadsDirty = true
	for name, l := range report {
		c.dirty = c.dirty || l.Slots != before[name].Slots
	}
}

// zoneOf returns the zone of an instance. ok is false if the instance is
// unknown.
func (c *Control) zoneOf(id membership.Identity) (string, bool) {
	in, ok := c.members.View().Instance(id)
	return in.Zone, ok
}

// zoneLoad returns a zone's load of a service. For the own zone it is the sum
// of the instances' reports, with the time of the oldest one; for another zone
// it is that zone's own report. The result is false if there is no report.
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
