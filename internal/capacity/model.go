package capacity

import (
	"fmt"

	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/decide/linkcap"
	"github.com/banyandeal/banyandeal/internal/decide/membership"
	"github.com/banyandeal/banyandeal/internal/decide/ownership"
	"github.com/banyandeal/banyandeal/internal/decide/shift"
)

// Figures of the arithmetic that no run gives.
const (
	// meanJitter is the mean share of a row's poll period that is waited.
	meanJitter = 0.75
	// stateChanges is how many times a member's record changes when it is
	// replaced: leaving, gone, and the new one's start.
	stateChanges = 3
	// rowWrites is how many rows are written when an instance is replaced: its
	// backend servers and link rights are given and taken.
	rowWrites = 4
	// keyRate is an example of requests with a kept key per second at one home,
	// and keyTTL how long each is kept in seconds.
	keyRate, keyTTL = 100, 60
	// farRoundTrip is the time to another region and back, in seconds.
	farRoundTrip = 0.07
	// rack is the number of instances of a rack.
	rack = 40
	// outage is how long a region is lost, in seconds.
	outage = 3600
	// collectorRoom is the heap at the start of a collection over what is in
	// use.
	collectorRoom = 2
	// secondsPerDay is the period of Size's daily counts.
	secondsPerDay = 86400
)

// Role is what one role costs at Letter's size, computed from measured series.
type Role struct {
	Name, State, Messages, Traffic, Core, Memory, Mechanism string
}

// Check compares a budget with what is needed.
type Check struct{ Name, Bound, Need, Verdict, Arithmetic string }

// model holds the rates that the roles share, per second.
type model struct {
	res                                     Results
	heartbeat, tick                         float64
	nodes, zones, zone, relays, region      float64
	lookups, changes, memberChanges         float64
	plainExchanges, relayExchanges          float64
	plainTraffic, relayTraffic, rowsTraffic float64
	plainCore, relayCore, memory            float64
	tableReads, tableWrites, newborn        float64
}

func newModel(res Results) model {
	m := model{
		res: res, heartbeat: static.DefaultHeartbeatInterval.Seconds(), tick: static.DefaultTickInterval.Seconds(),
		nodes: float64(Letter.Nodes), zones: float64(Letter.Zones), zone: float64(Letter.ZoneNodes()),
		relays: membership.RelaysPerZone, region: float64(Letter.RegionNodes()),
		lookups: Letter.LookupRate / float64(Letter.Nodes), changes: Letter.Changes / secondsPerDay,
		memberChanges: (Letter.Restarts + Letter.Failures) * stateChanges / secondsPerDay,
	}
	// All of a zone send to each relay; relays send to one of each other zone.
	m.plainExchanges = m.relays / m.heartbeat
	m.relayExchanges = (m.zone - 1 + m.relays - 1 + 2*(m.zones-1)) / m.heartbeat
	pair := HeartbeatBytes()
	m.rowsTraffic = res.At(ownerRow)/(ownership.DefaultNonRelayPollInterval.Seconds()*meanJitter) + res.At(linkRow)/(linkcap.DefaultPollInterval.Seconds()*meanJitter)
	m.plainTraffic = m.plainExchanges*pair + res.At(trafficPlain) + m.rowsTraffic
	m.relayTraffic = m.relayExchanges*pair + res.At(trafficRelay) + res.At(trafficMesh) + m.rowsTraffic +
		res.At(ownerRow)/(ownership.DefaultRelayPollInterval.Seconds()*meanJitter) + res.At(listBytes)/static.DefaultListPollInterval.Seconds()
	m.cores()
	m.memory = res.At(blockTable) + res.At(blockContent) + res.At(memberHeap) + res.At(memberSet) + res.At(ownerHeap) + res.At(linkHeap)
	allReads := m.nodes / (ownership.DefaultNonRelayPollInterval.Seconds() * meanJitter)
	linkReads := m.nodes / (linkcap.DefaultPollInterval.Seconds() * meanJitter)
	relayReads := m.zones * m.relays * (1/static.DefaultConfigPollInterval.Seconds() + 1/(ownership.DefaultRelayPollInterval.Seconds()*meanJitter))
	m.tableReads = allReads + linkReads + relayReads
	m.tableWrites = m.changes + (Letter.Restarts+Letter.Failures)*rowWrites/secondsPerDay
	m.newborn = res.At(blockEstate) + res.At(memberRecords) + res.At(ownerRow) + res.At(linkRow)
	return m
}

// cores sets the shares of a core. A heartbeat's two ends share its time.
func (m *model) cores() {
	ticks := (m.res.At(memberTick) + m.res.At(ownerTick) + m.res.At(linkTick) + m.res.At(memberPublish)) / m.tick
	ramp := m.res.At(zoneRest) / shift.StepInterval.Seconds()
	change := m.changes * (m.res.At(siteApply) + m.res.At(sitePlan) + m.res.At(zoneTables) + m.res.At(memberAnew))
	members := m.memberChanges * (m.res.At(memberChange) + m.res.At(memberAnew))
	m.plainCore = ticks + ramp + change + members + m.plainExchanges*m.res.Slope(wireCalls)/2
	m.relayCore = m.plainCore + (m.relayExchanges-m.plainExchanges)*m.res.Slope(wireCalls)/2
}

func percent(share float64) string { return fmt.Sprintf("%.2f %%", share*100) }

func perSecond(v float64) string { return quantity(v, Bytes) + "/s" }

// Roles returns the table of roles.
func Roles(res Results) []Role {
	m := newModel(res)
	keys := float64(keyRate * keyTTL)
	return []Role{
		{"look-up", quantity(res.At(blockTable), Bytes) + " of blocks, tables of zones", fmt.Sprintf("%.0f look-ups/s", m.lookups),
			perSecond(m.lookups * res.Slope(wireAnswer)), percent(m.lookups*res.Slope(wireLookups)) + " at most (both ends)",
			quantity(res.At(blockTable), Bytes), "internal/lookup, internal/blocktable, placement.Table in the snapshot"},
		{"request path", "none that lasts", "as requests come", "that of the requests", "not measured here",
			"bounded by limits.max_in_flight and limits.body_memory", "internal/filter"},
		{"backend owner", quantity(res.At(ownerRow), Bytes) + " of its zone's row", fmt.Sprintf("one read in %.1f s", ownership.DefaultNonRelayPollInterval.Seconds()*meanJitter),
			perSecond(res.At(ownerRow) / (ownership.DefaultNonRelayPollInterval.Seconds() * meanJitter)), percent(res.At(ownerTick) / m.tick),
			quantity(res.At(ownerHeap), Bytes), "internal/decide/ownership, one row a zone"},
		{"zone relay", quantity(res.At(memberSet), Bytes) + " of records", fmt.Sprintf("%.0f heartbeats/s", m.relayExchanges),
			perSecond(m.relayTraffic), percent(m.relayCore), quantity(m.memory, Bytes), "internal/decide/membership, internal/decide/refresh, internal/config/publish"},
		{"any instance's control", quantity(res.At(memberSet), Bytes) + " of records", fmt.Sprintf("%.0f heartbeats/s", m.plainExchanges),
			perSecond(m.plainTraffic), percent(m.plainCore), quantity(m.memory, Bytes), "internal/control"},
		{"link holder", quantity(res.At(linkRow), Bytes) + " of its region's row", fmt.Sprintf("one read in %.1f s", linkcap.DefaultPollInterval.Seconds()*meanJitter),
			perSecond(res.At(linkRow) / (linkcap.DefaultPollInterval.Seconds() * meanJitter)), percent(res.At(linkTick) / m.tick),
			quantity(res.At(linkHeap), Bytes), fmt.Sprintf("internal/decide/linkcap, at most %d holders a region", linkcap.DefaultMaxHolders)},
		{"key home", fmt.Sprintf("%.0f keys at %d requests/s kept %d s", keys, keyRate, keyTTL), "none of its own", "none of its own", "not measured here",
			quantity(keys*res.Slope(keyHeap), Bytes), "internal/decide/once"},
		{"platform's table", fmt.Sprintf("%d owner rows, %d link rows, one head, claim rows", Letter.Zones, Letter.Regions),
			fmt.Sprintf("%.0f reads/s, %.2f writes/s and claims", m.tableReads, m.tableWrites),
			perSecond(m.nodes * m.rowsTraffic), "the platform's", "the platform's", "internal/decide/cas, internal/platform"},
		{"platform's object store", quantity(res.At(blockEstate), Bytes) + " a version, shared parts", fmt.Sprintf("%.1f reads/s by relays at %.2f changes/s", m.changes*m.zones*m.relays, m.changes),
			perSecond(m.changes * m.zones * m.relays * res.At(blockChange)), "the platform's", "the platform's", "internal/config (parts, manifest, delta)"},
		{"operator's tool", "the whole estate while it runs", "one commit a change", quantity(res.At(blockChange), Bytes) + " a change",
			quantity(res.At(blockSplit), Seconds) + " a run (splitting)", "not measured here", "internal/config/publish"},
	}
}

// Checks returns the table of budgets.
func Checks(res Results) []Check {
	m := newModel(res)
	b := LetterBudget
	size := func(v float64) string { return quantity(v, Bytes) }
	inForce := static.DefaultConfigPollInterval.Seconds() + 3*farRoundTrip + 2*static.DefaultHeartbeatInterval.Seconds() + 3*farRoundTrip +
		2*(res.At(siteApply)+res.At(sitePlan)+res.At(zoneTables))
	back := 2 * m.nodes * res.Slope(memberRecords)
	missed := m.changes * outage * res.At(siteChange)
	return []Check{
		compare("processor, any instance", b.Core, m.plainCore, percent, "ticks and snapshots 10/s, ramp 4/s, changes, half of each heartbeat"),
		compare("processor, zone relay", b.Core, m.relayCore, percent, fmt.Sprintf("the same with %.0f heartbeats/s", m.relayExchanges)),
		compare("memory of control, in use", b.Memory, m.memory, size, "blocks, configuration, members, records, owners, link rights"),
		compare("the same with the collector's room", b.Memory, m.memory*collectorRoom, size, "the collector lets the heap grow to double (GOGC=100)"),
		compare("the same at a relay", b.Memory, m.memory*collectorRoom+(m.zone+2*m.zones)*res.Slope(wireSessions)/2, size,
			fmt.Sprintf("%.0f more peer sessions, half of what both ends take", m.zone+2*m.zones)),
		compare("traffic, any instance", b.Traffic, m.plainTraffic, perSecond, fmt.Sprintf("%.0f heartbeats/s, records, rows", m.plainExchanges)),
		compare("traffic, zone relay", b.Traffic, m.relayTraffic, perSecond, fmt.Sprintf("%.0f heartbeats/s, records, rows, the platform's list each second", m.relayExchanges)),
		compare("table reads a second", b.TableReads, m.tableReads, count,
			fmt.Sprintf("relays: head 2/s, zone's row 1.3/s; all: zone's row once in %.1f s, region's row once in %.1f s",
				ownership.DefaultNonRelayPollInterval.Seconds()*meanJitter, linkcap.DefaultPollInterval.Seconds()*meanJitter)),
		compare("table writes a second", b.TableWrites, m.tableWrites, func(v float64) string { return fmt.Sprintf("%.2f", v) }, "changes, 4 row writes a restart; the rest is for batches of claims"),
		compare("change in force everywhere", b.InForce.Seconds(), inForce, func(v float64) string { return fmt.Sprintf("%.2f s", v) },
			"relay's poll, 3 reads at 70 ms, heartbeats to other zones and in the zone, 3 fetches at 70 ms, two installs"),
		{"restarts", fmt.Sprintf("%.0f a day", Letter.Restarts), size(m.newborn) + " each, " + perSecond(Letter.Restarts*m.newborn/secondsPerDay) + " in all", "",
			fmt.Sprintf("whole configuration in %.0f objects, all member records, two rows", res.At(blockObjects))},
		burst("a rack back", rack, m, res),
		burst("a zone back", m.zone, m, res),
		burst("a region back, restarted", m.region, m, res),
		{"a region lost for an hour and back", "", fmt.Sprintf("%s of records and %s of configuration an instance", size(back), size(missed)), "",
			fmt.Sprintf("each of %.0f members suspected and refuted; %.0f changes missed", m.nodes, m.changes*outage)},
	}
}

// Changes returns what control would need with changes that are not built.
func Changes(res Results) []Check {
	m := newModel(res)
	b := LetterBudget
	slow := ownership.DefaultNonRelayPollInterval.Seconds() * meanJitter * slowerPolls
	rows := (res.At(ownerRow) + res.At(linkRow)) / slow
	slim := slimBytes()*slimRate + rows
	sums := m.zones * packedRecord / packedPeriod
	return []Check{
		compare("any instance: one heartbeat a second without own record, rows read when told", b.Traffic, slim+res.At(trafficPlain), perSecond,
			fmt.Sprintf("%.0f B a heartbeat and reply; rows polled %d times less", slimBytes(), slowerPolls)),
		compare("and no load reports of single instances, packed ones of zones", b.Traffic, slim+sums, perSecond,
			fmt.Sprintf("%.0f zones, %d B each in %d s", m.zones, packedRecord, packedPeriod)),
		compare("zone relay, all of these, in a tree of three below each instance", b.Traffic, (1+treeFanOut)*(slimBytes()*slimRate+sums)+rows, perSecond,
			"four neighbours in place of 586 heartbeats a second; 242 instances in 5 levels"),
	}
}

// Figures of the changes that are not built.
const (
	// slimRate is heartbeats per second to one neighbour.
	slimRate = 1
	// slowerPolls is how many times less often rows are polled once every change
	// is told.
	slowerPolls = 10
	// packedRecord is a zone's report of its load with varints in place of JSON,
	// in bytes, sent once in packedPeriod seconds.
	packedRecord, packedPeriod = 40, 2
	treeFanOut                 = 3
)

func burst(what string, n float64, m model, res Results) Check {
	objects := n * res.At(blockObjects)
	return Check{what, "", fmt.Sprintf("%s, %.0f objects: %.0f s at %.0f reads/s", quantity(n*m.newborn, Bytes), objects, objects/LetterBudget.TableReads, LetterBudget.TableReads),
		"", fmt.Sprintf("at worst: all %.0f fetch everything from the platform, which is asked where no neighbour offers the version", n)}
}

func compare(name string, bound, need float64, show func(float64) string, arithmetic string) Check {
	verdict := fmt.Sprintf("margin %.1f×", bound/need)
	if need > bound {
		verdict = fmt.Sprintf("**short by %.1f×**", need/bound)
	}
	return Check{name, show(bound), show(need), verdict, arithmetic}
}
