// Package peers decides, from what one entry instance has itself seen of the other
// instances, from which of its region it reads the tables of the store, and which are dead, so that
// their rows are removed. Which of them lookups leave out, and which it checks, it decides by what
// others have found or suspect, too.
//
// Rows are removed by own evidence alone. It depends neither on the role of the instance nor on that
// of the peer, so that a change of role loses none.
//
// Machine is a pure state machine and not safe for concurrent use.
package peers

import (
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/tree"
)

const (
	// SilenceTimeout is the time without a sign of life after which a neighbour is
	// checked. It is longer than the time between two requests of neighbours, 0.7 s.
	SilenceTimeout = 1200 * time.Millisecond
	// ConnectTimeout is the time in which a check must open a connection. A lost packet
	// that opens one is sent again after 1 s.
	ConnectTimeout = 1100 * time.Millisecond
	// responsePatience is how long a check may take before others are checked too. It is several
	// times what a response takes between regions.
	responsePatience = 400 * time.Millisecond
	// minFailedConnects is the number of failed connections after which a peer may be dead.
	// Beyond freeDoubts, each peer that gives a sign of life within doubtSpan after a
	// connection timed out raises it for doubtMemory, because connections time out then for
	// reasons of this instance. A peer that was off or cut off is away for longer, mostly.
	minFailedConnects = 2
	freeDoubts        = 2
	maxDoubts         = 10
	doubtSpan         = 4 * time.Second
	doubtMemory       = 30 * time.Second
	// deadAfter is how long no connection to a peer can be opened before it is dead.
	deadAfter = 1500 * time.Millisecond
	// isolatedDeadAfter is the same for an instance that neither hears from another one nor
	// reaches one, so that it may be the one that is cut off. SilenceTimeout and
	// isolatedDeadAfter together are within the 7 s in which the directory must drop a dead
	// instance.
	isolatedDeadAfter = 4500 * time.Millisecond
	// maxDeadAfter bounds the time after which a peer that was wrongly held for dead is
	// held for dead again.
	maxDeadAfter = 30 * time.Second
	// evictSpread is the time over which the instances that find a peer dead spread the
	// removal of its row.
	evictSpread = 400 * time.Millisecond
	// evictRetryInterval is the time after which a dead peer that is still a member is
	// reported again.
	evictRetryInterval = time.Second
	// contactWindow is how recent a sign of life, or a response, of any instance must be to
	// show that this instance is not cut off.
	contactWindow = 2 * time.Second
	// maxStepGap is the time between two steps beyond which this process has been frozen, so
	// that the time tells nothing about others.
	maxStepGap = time.Second
	// checkInterval is the time between checks of a peer that responds without having the
	// tables, retryInterval that of a peer that cannot be reached. Both double with each
	// failure: up to maxCheckInterval for sources, up to maxRetryInterval for others.
	checkInterval    = 400 * time.Millisecond
	retryInterval    = 100 * time.Millisecond
	maxCheckInterval = 2 * time.Second
	maxRetryInterval = 30 * time.Second
	// checksPerSecond and maxCheckBurst bound the checks of this instance.
	checksPerSecond = 12
	maxCheckBurst   = 150
	// maxReadmitDelay bounds the time for which a peer is not read from that has failed
	// repeatedly.
	maxReadmitDelay = 8 * time.Second
	// exclusionMemory is the time after which earlier failures of a peer no longer
	// lengthen its exclusion.
	exclusionMemory = 30 * time.Second
	// maxRoots is the number of instances of the order that read the store for the
	// region: the root and the one that follows it if the root fails.
	maxRoots = 2
	// alarmChecks is the number of further peers that are checked at a time because of an
	// alarm and for each one that is unreachable, maxAlarmChecks bounds them.
	alarmChecks    = 8
	maxAlarmChecks = 128
	// alarmInterval is the shortest time between two alarms.
	alarmInterval = 3 * time.Second
	// maxControls is the number of instances that are checked to find out whether this
	// instance reaches any.
	maxControls = 2
)

// Store is the source that means the store itself.
const Store = ""

// Member is an instance that has a row in the members' table.
type Member struct {
	tree.Node
	// Region is the region of the instance.
	Region string
	// Incarnation identifies the process.
	Incarnation int64
	// RowVersion is the version of the member's row.
	RowVersion uint64
}

// Failure is how a read from a peer, or a check of it, failed.
type Failure uint8

// Failures.
const (
	// NotReading means that the peer responds and does not have the tables now.
	NotReading Failure = iota
	// StoreLost means that the peer responds and that the store is lost to it and to
	// those from which it reads.
	StoreLost
	// Silent means that the peer does not respond on a connection that was open before,
	// which does not tell whether it can be reached.
	Silent
	// Unresponsive means that the peer accepts a connection and does not respond.
	Unresponsive
	// Unreachable means that no connection to the peer can be opened in time.
	Unreachable
	// Refused means that the machine of the peer refuses connections: the process has ended.
	Refused
)

// String returns the name of the failure in logs.
func (f Failure) String() string {
	return [...]string{"not_reading", "store_lost", "silent", "unresponsive", "unreachable", "refused"}[f]
}

// Check is a check of an instance, whose result must be reported with Responded or Failed.
type Check struct {
	// Peer is the name of the instance.
	Peer string
	// AwaitTables is set if the instance is known to respond, so that the check should
	// wait until it has the tables.
	AwaitTables bool
	// Tell is what the check tells the instance; nil if nothing.
	Tell *Findings
}

// Ready is what is to be done now.
type Ready struct {
	// Checks holds the checks to start.
	Checks []Check
	// Dead holds the peers whose rows are to be removed.
	Dead []Member
}

// Machine holds what one instance knows of its peers.
type Machine struct {
	self  Member
	peers map[string]*peer
	// unreachable holds the peers to which a connection has failed since the last sign of
	// life, so that a step at rest does not go through all peers.
	unreachable map[string]*peer
	// foreign holds the instances of other regions, regions those regions in the order in which
	// this instance watches them while it is the root of its region. surveyAt is when all of
	// them were to be checked last; zero while it is not the root.
	foreign  map[string]*peer
	regions  []*otherRegion
	surveyAt time.Time
	// told holds what other instances have told, tellings what was told to each region. gone and
	// findings hold what has been found or told and still holds.
	told     map[string]*told
	tellings map[string]telling
	// toldBy is the source that told last.
	toldBy   string
	gone     map[string]Finding
	findings Findings
	// suspected holds the suspicions that others have told and that still hold, overdue the
	// neighbours that have not responded to a check as soon as they should.
	suspected suspicions
	overdue   []string
	// leftOut holds the peers that this instance itself has found lookups must leave out.
	leftOut map[string]*peer
	// returned holds the instances of other regions whose rows came back with an older copy of
	// the store.
	returned map[string]*peer
	// ranked holds this instance and its peers in the order of the tree.
	ranked []tree.Node
	// full is the tree of all members. reachable is the tree of those to which no
	// connection has failed since the last sign of life, nil if it is to be built anew.
	full, reachable *tree.Tree
	// candidates holds the peers from which this instance may read, the preferred one
	// first.
	candidates []string
	// storeLost is set from the time at which a candidate reports that the store is lost
	// until one has the tables.
	storeLost bool
	lateral   lateral
	// lastContact is the time of the newest sign of life of any instance, lastReached that of
	// the newest response to this one, storeReached that of the newest response of the store.
	// nextControl is the earliest time of the next controls.
	lastContact, lastReached, storeReached, nextControl time.Time
	// doubts counts the peers that responded after a failed connection, doubtedAt is the time
	// of the newest.
	doubts    int
	doubtedAt time.Time
	// lastStep is the time of the last step, tokens the checks that may be started then.
	lastStep time.Time
	tokens   float64
	// alarm is the time at which a peer was found to be silent or unreachable last.
	alarm time.Time
	// evicted holds the incarnations of peers that were reported as dead, with how often.
	evicted map[string]eviction
}

// eviction counts how often an incarnation was held for dead.
type eviction struct {
	incarnation int64
	count       int
	// rowVersion is the version of the row that was to be removed.
	rowVersion uint64
	// rewritten is set when the incarnation has written its row again since.
	rewritten bool
}

// peer is what is known of another instance.
type peer struct {
	Member
	// home is the region of an instance of another region, nil for others.
	home *otherRegion
	// lastContact is the time of the newest sign of life.
	lastContact time.Time
	// excluded is set while the peer is not read from. It is read from again when it
	// has the tables, from readmitAt on.
	excluded  bool
	readmitAt time.Time
	// awaitsTables is set if the peer responded last without having the tables.
	awaitsTables bool
	// exclusions counts the recent exclusions, excludedAt is the time of the last one.
	exclusions int
	excludedAt time.Time
	// unresponsive is set while the peer takes connections and does not respond. It takes no
	// part in finding the dead then, and gives no sign of life.
	unresponsive bool
	// unreachableSince is the time of the first failed connection since the last sign
	// of life; zero if there is none. failedConnects counts them, refused is set if the
	// last one was refused.
	unreachableSince time.Time
	failedConnects   int
	// suspectedSince is when the first check without a response since the last sign of life
	// began; zero if there is none.
	suspectedSince time.Time
	refused        bool
	// checking is set while a check is in progress. checkedAt is the time of the last one,
	// nextCheck the earliest time of the next one, and failedChecks the number of failed
	// ones in a row.
	checking             bool
	checkedAt, nextCheck time.Time
	failedChecks         int
	// leftOutSince is when this instance found that lookups must leave the peer out.
	leftOutSince time.Time
	// returned is set if the row of a dead peer came back with an older copy of the store,
	// and there has been no sign of life since.
	returned bool
	// reportedAt is the time at which the peer was last reported as dead.
	reportedAt time.Time
}

// New returns a Machine for the instance self that knows no peers.
func New(self Member) *Machine {
	m := &Machine{
		self: self, peers: map[string]*peer{}, foreign: map[string]*peer{}, evicted: map[string]eviction{},
		told: map[string]*told{}, tellings: map[string]telling{}, leftOut: map[string]*peer{},
	}
	m.rebuild()
	return m
}

// Members sets the members of all regions. Whether this instance is among them makes no
// difference.
func (m *Machine) Members(members []Member, now time.Time) {
	known, knownForeign := m.peers, m.foreign
	m.peers, m.foreign = map[string]*peer{}, map[string]*peer{}
	for _, member := range members {
		switch {
		case member.Name == m.self.Name:
			// The others know this instance by its row.
			m.self.Node = member.Node
		case member.Region != m.self.Region:
			m.foreign[member.Name] = m.update(knownForeign[member.Name], member, now)
		default:
			m.peers[member.Name] = m.update(known[member.Name], member, now)
		}
	}
	m.rebuild()
	m.updateFindings(now)
}

// update returns what is known of a peer after its row was read.
func (m *Machine) update(p *peer, member Member, now time.Time) *peer {
	e, wasEvicted := m.evicted[member.Name]
	wasEvicted = wasEvicted && e.incarnation == member.Incarnation
	if p != nil && p.Incarnation == member.Incarnation && member.RowVersion <= p.RowVersion {
		p.Member = member
		return p
	}
	// Writing the row is a sign of life.
	p = &peer{Member: member, lastContact: now}
	switch {
	case wasEvicted && member.RowVersion <= e.rowVersion:
		p.lastContact, p.unreachableSince, p.returned = time.Time{}, now, true
	case wasEvicted:
		e.rewritten = true
		m.evicted[member.Name] = e
	default:
		delete(m.evicted, member.Name)
	}
	return p
}

// rebuild builds the trees and the candidates after a change of the members.
func (m *Machine) rebuild() {
	nodes := []tree.Node{m.self.Node}
	m.unreachable = map[string]*peer{}
	for name, p := range m.peers {
		nodes = append(nodes, p.Node)
		if !p.unreachableSince.IsZero() {
			m.unreachable[name] = p
		}
	}
	m.returned = map[string]*peer{}
	for name, p := range m.foreign {
		if p.returned {
			m.returned[name] = p
		}
	}
	m.ranked = tree.Rank(m.self.Region, nodes)
	m.full, m.reachable = tree.FromRanked(m.ranked), nil
	m.candidates, m.regions = m.chooseCandidates(), m.chooseRegions()
	if len(m.candidates) == 0 {
		m.storeLost = false
	}
	if m.peers[m.lateral.from] == nil {
		m.lateral.from = Store
	}
}

// reachableTree returns the tree of this instance and of the peers that can be reached and
// respond.
func (m *Machine) reachableTree() *tree.Tree {
	if m.reachable == nil {
		m.reachable = tree.FromRanked(slices.DeleteFunc(slices.Clone(m.ranked), func(n tree.Node) bool {
			p := m.peers[n.Name]
			return p != nil && (p.unresponsive || !p.unreachableSince.IsZero())
		}))
	}
	return m.reachable
}

// chooseCandidates returns the peers from which this instance may read: its parent and
// grandparent, the root, and the instance that follows the root if the root fails.
func (m *Machine) chooseCandidates() []string {
	var list []string
	add := func(name string) {
		if name != m.self.Name && !slices.Contains(list, name) {
			list = append(list, name)
		}
	}
	if parent, ok := m.full.Parent(m.self.Name); ok {
		add(parent)
		if grandparent, ok := m.full.Parent(parent); ok {
			add(grandparent)
		}
	}
	for _, name := range m.full.Order()[:min(maxRoots, len(m.full.Order()))] {
		if name == m.self.Name {
			break
		}
		add(name)
	}
	return list
}

// lookup returns what is known of an instance of any region, or nil.
func (m *Machine) lookup(name string) *peer {
	if p := m.peers[name]; p != nil {
		return p
	}
	return m.foreign[name]
}

// Contact records a sign of life of an instance: it has sent a request.
func (m *Machine) Contact(name string, now time.Time) {
	m.lastContact = now
	p := m.lookup(name)
	if p == nil {
		return
	}
	p.lastContact, p.returned, p.suspectedSince = now, false, time.Time{}
	delete(m.gone, name)
	delete(m.returned, name)
	if p.home != nil {
		p.home.contact(now)
	}
	if p.unresponsive {
		p.unresponsive, m.reachable = false, nil
	}
	if p.unreachableSince.IsZero() {
		return
	}
	if !p.refused && now.Sub(p.unreachableSince) <= doubtSpan {
		m.doubt(now)
	}
	p.unreachableSince, p.failedConnects = time.Time{}, 0
	m.forgetUnreachable(name)
}

// forgetUnreachable records that an instance can be reached again.
func (m *Machine) forgetUnreachable(name string) {
	delete(m.unreachable, name)
	m.reachable = nil
}

// doubt records that a failed connection did not show a dead peer.
func (m *Machine) doubt(now time.Time) {
	if now.Sub(m.doubtedAt) > doubtMemory {
		m.doubts = 0
	}
	m.doubts, m.doubtedAt = min(maxDoubts, m.doubts+1), now
}

// requiredFailures returns the number of failed connections that show a dead peer.
func (m *Machine) requiredFailures(now time.Time) int {
	if now.Sub(m.doubtedAt) > doubtMemory {
		return minFailedConnects
	}
	return minFailedConnects + max(0, m.doubts-freeDoubts)
}

// Responded records that an instance responded to a read or a check. hasTables reports
// whether it has the tables now.
func (m *Machine) Responded(name string, hasTables bool, now time.Time) {
	m.Contact(name, now)
	m.lastReached = now
	p := m.lookup(name)
	if p == nil {
		return
	}
	p.checking, p.awaitsTables = false, !hasTables
	m.tellingReceived(p)
	if !hasTables {
		m.fail(p, now)
		return
	}
	p.failedChecks = 0
	if now.Before(p.readmitAt) {
		p.nextCheck = p.readmitAt
		return
	}
	p.excluded = false
	if slices.Contains(m.candidates, name) {
		m.storeLost = false
	}
	m.offerLateral(p, now)
}

// Failed records that a read from a peer, or a check of it, failed.
func (m *Machine) Failed(name string, f Failure, now time.Time) {
	p := m.lookup(name)
	if p == nil {
		return
	}
	switch f {
	case Silent:
		m.raiseAlarm(p, now)
	case Unreachable, Refused:
		p.refused = f == Refused
		m.connectFailed(p, now)
	case Unresponsive:
		m.connectionTaken(p, now)
	default:
		m.Contact(name, now)
		m.lastReached = now
		m.tellingReceived(p)
	}
	if f == StoreLost && slices.Contains(m.candidates, name) {
		m.storeLost = true
	}
	p.checking, p.awaitsTables = false, f == NotReading || f == StoreLost
	m.fail(p, now)
	if f == Silent {
		p.nextCheck = now
	}
}

// connectFailed records that a connection to a peer could not be opened.
func (m *Machine) connectFailed(p *peer, now time.Time) {
	if m.frozen(now) {
		return
	}
	if p.outdated(now) {
		p.unreachableSince, p.failedConnects, p.suspectedSince = time.Time{}, 0, time.Time{}
	}
	// An instance that stood still takes connections, one that is gone no longer does.
	p.unresponsive = false
	p.failedConnects++
	p.suspect(now)
	if !p.unreachableSince.IsZero() {
		return
	}
	// Failures of another kind do not delay the next check.
	p.unreachableSince, p.failedChecks = now, 0
	if p.Region == m.self.Region {
		m.unreachable[p.Name], m.reachable = p, nil
	}
	m.raiseAlarm(p, now)
}

// raiseAlarm records that a peer of this region is silent or unreachable. What is found
// because of an alarm raises no other one.
func (m *Machine) raiseAlarm(p *peer, now time.Time) {
	if p.Region == m.self.Region && now.Sub(m.alarm) > alarmInterval {
		m.alarm = now
	}
}

// connectionTaken records that a peer takes connections and does not respond, as one that is
// frozen does.
func (m *Machine) connectionTaken(p *peer, now time.Time) {
	m.lastReached = now
	p.unresponsive, p.unreachableSince, p.failedConnects = true, time.Time{}, 0
	p.suspectedSince = time.Time{}
	m.forgetUnreachable(p.Name)
}

// frozen reports whether this process has not run for a while.
func (m *Machine) frozen(now time.Time) bool {
	return !m.lastStep.IsZero() && now.Sub(m.lastStep) > maxStepGap
}

// forgetFailures forgets the failed connections to all peers. Those that were left out are checked
// at once.
func (m *Machine) forgetFailures() {
	for _, all := range []map[string]*peer{m.peers, m.foreign} {
		for _, p := range all {
			p.unreachableSince, p.failedConnects, p.suspectedSince = time.Time{}, 0, time.Time{}
		}
	}
	for _, p := range m.leftOut {
		p.failedChecks, p.nextCheck = 0, time.Time{}
	}
	clear(m.unreachable)
	m.reachable = nil
}

// fail excludes a peer from being read from and schedules its next check.
func (m *Machine) fail(p *peer, now time.Time) {
	p.failedChecks++
	p.nextCheck = now.Add(m.checkDelay(p))
	if p.Name == m.lateral.from {
		m.lateral.from = Store
	}
	if p.excluded {
		return
	}
	if now.Sub(p.excludedAt) > exclusionMemory {
		p.exclusions = 0
	}
	p.excluded, p.excludedAt = true, now
	p.readmitAt = now.Add(min(maxReadmitDelay, checkInterval<<min(p.exclusions, 8)))
	p.exclusions++
}

// checkDelay returns the time until the next check of a peer that has failed.
func (m *Machine) checkDelay(p *peer) time.Duration {
	interval, longest := checkInterval, maxCheckInterval
	if !p.unreachableSince.IsZero() {
		interval = retryInterval
		if !slices.Contains(m.candidates, p.Name) {
			longest = maxRetryInterval
		}
	}
	return min(longest, interval<<min(p.failedChecks-1, 10))
}

// Source returns the peer to read from, or Store.
func (m *Machine) Source() string {
	if name, ok := m.candidate(); ok {
		return name
	}
	return m.lateral.from
}

// IsRoot reports whether this instance is the one that reads the store for the region,
// as far as it can reach the others.
func (m *Machine) IsRoot() bool {
	order := m.reachableTree().Order()
	return len(order) > 0 && order[0] == m.self.Name
}

// Order returns the instances of the region that this one can reach, in the order in which
// they read the store for the region. The caller must not change the result.
func (m *Machine) Order() []string { return m.reachableTree().Order() }

// Size returns the number of instances of the region, including this one.
func (m *Machine) Size() int { return len(m.peers) + 1 }

// Step returns what is to be done at the time now. It must be called regularly.
func (m *Machine) Step(now time.Time) Ready {
	if m.frozen(now) {
		m.forgetFailures()
	}
	m.tokens = min(maxCheckBurst, m.tokens+checksPerSecond*now.Sub(m.lastStep).Seconds())
	m.lastStep = now
	var ready Ready
	for _, name := range m.suspects(now) {
		ready.Checks = m.startCheck(ready.Checks, m.peers[name], now)
	}
	ready.Checks = append(ready.Checks, m.stepLateral(now)...)
	ready.Checks = append(ready.Checks, m.controlChecks(now)...)
	for _, p := range m.unreachable {
		if m.dead(p, now) && now.Sub(p.reportedAt) >= evictRetryInterval {
			m.report(p, now)
			ready.Dead = append(ready.Dead, p.Member)
		}
	}
	checks, dead := m.watchRegions(now)
	ready.Checks, ready.Dead = append(ready.Checks, checks...), append(ready.Dead, dead...)
	m.updateFindings(now)
	ready.Checks = append(ready.Checks, m.followUp(now)...)
	ready.Checks = append(ready.Checks, m.tellOthers(now)...)
	return ready
}
