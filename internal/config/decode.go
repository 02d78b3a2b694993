package config

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// Defaults of optional fields.
const (
	DefaultLookupTTL      = 5 * time.Second
	DefaultDeadline       = 2 * time.Second
	DefaultMeanTime       = 20 * time.Millisecond
	DefaultMaxUtilisation = 0.8
	DefaultKeyTTL         = 10 * time.Minute
	// DefaultMaxBody is in bytes.
	DefaultMaxBody          int64   = 1 << 20
	DefaultRetryBudgetShare         = 0.1
	DefaultRetryMaxAttempts         = 3
	DefaultHedgeAfter               = time.Duration(0)
	DefaultSiteWeight       float64 = 1
	// DefaultMaxShare and DefaultColdShare are shares per second.
	DefaultMaxShare  = 0.05
	DefaultColdShare = 0.02
	DefaultColdTime  = 30 * time.Second
)

// maxGroupCount is the most backend servers of one group.
const maxGroupCount = 10_000

// base is base.yaml as written.
type base struct {
	name     string
	regions  []estate.Region
	zones    []estate.Zone
	sites    []estate.Site
	links    []link
	services []service
	shift    estate.ShiftPolicy
}

// link is a declared link and its place.
type link struct {
	estate.Link
	at place
}

// service is a declared service with the defaults of its backend servers.
type service struct {
	estate.Service
	defaults limits
	groups   []group
}

// limits are those of one backend server; 0 means not stated.
type limits struct {
	slots, connections int
}

// or fills what l leaves out.
func (l limits) or(other limits) limits {
	if l.slots == 0 {
		l.slots = other.slots
	}
	if l.connections == 0 {
		l.connections = other.connections
	}
	return l
}

// group declares count backend servers of one service in one site.
type group struct {
	at            place
	service, site string
	name          string
	count         int
	address       string
	increment     increment
	limits        limits
	state         estate.State
}

// increment says which part of a group's address counts up.
type increment string

const (
	incrementPort increment = "port"
	incrementIP   increment = "ip"
)

// overlay is one overlays/<site>.yaml as written.
type overlay struct {
	file     string
	site     string
	state    estate.State
	weight   float64
	services map[string]limits
	backends map[string]change
	add      []group
}

// change is what an overlay states of a backend server of the base file.
type change struct {
	at     place
	limits limits
	state  estate.State
}

func (c *collector) decodeBase(data []byte) (b base, ok bool) {
	v, ok := c.parseYAML(baseFile, data)
	if !ok {
		return b, false
	}
	b.shift = estate.ShiftPolicy{MaxShare: DefaultMaxShare, ColdShare: DefaultColdShare, ColdTime: DefaultColdTime}
	v.fields(map[string]func(value){
		"name":     func(v value) { v.name(&b.name) },
		"regions":  func(v value) { v.named(b.decodeRegion) },
		"zones":    func(v value) { v.named(b.decodeZone) },
		"sites":    func(v value) { v.named(b.decodeSite) },
		"links":    func(v value) { v.list(b.decodeLink) },
		"services": func(v value) { v.named(b.decodeService) },
		"shift":    func(v value) { decodeShift(v, &b.shift) },
	}, "name", "regions", "zones", "sites", "services")
	return b, true
}

func (b *base) decodeRegion(name string, v value) {
	r := estate.Region{Name: name, State: estate.Active}
	v.fields(map[string]func(value){
		"state": func(v value) { v.state(&r.State) },
	})
	b.regions = append(b.regions, r)
}

func (b *base) decodeZone(name string, v value) {
	z := estate.Zone{Name: name, State: estate.Active}
	v.fields(map[string]func(value){
		"region": func(v value) { v.name(&z.Region) },
		"state":  func(v value) { v.state(&z.State) },
	}, "region")
	b.zones = append(b.zones, z)
}

func (b *base) decodeSite(name string, v value) {
	s := estate.Site{Name: name, State: estate.Active, Weight: DefaultSiteWeight}
	v.fields(map[string]func(value){
		"zone": func(v value) { v.name(&s.Zone) },
	}, "zone")
	b.sites = append(b.sites, s)
}

func (b *base) decodeLink(v value) {
	l := link{at: v.at}
	v.fields(map[string]func(value){
		"from":          func(v value) { v.name(&l.From) },
		"to":            func(v value) { v.name(&l.To) },
		"max_in_flight": func(v value) { v.count(&l.MaxInFlight) },
		"max_rate":      func(v value) { v.rate(&l.MaxRate, false, maxRate) },
	}, "from", "to", "max_in_flight", "max_rate")
	b.links = append(b.links, l)
}

func decodeShift(v value, s *estate.ShiftPolicy) {
	v.fields(map[string]func(value){
		"max_share":  func(v value) { v.rate(&s.MaxShare, false, 1) },
		"cold_share": func(v value) { v.rate(&s.ColdShare, false, 1) },
		"cold_time":  func(v value) { v.duration(&s.ColdTime, true) },
	})
	if s.ColdShare > s.MaxShare {
		v.fault(KindOutOfRange, "lower cold_share or raise max_share", "cold_share %v/s is above max_share %v/s", s.ColdShare, s.MaxShare)
	}
}

func (b *base) decodeService(name string, v value) {
	s := service{Service: estate.Service{
		Name: name, LookupTTL: DefaultLookupTTL, Deadline: DefaultDeadline, MeanTime: DefaultMeanTime,
		MaxUtilisation: DefaultMaxUtilisation, KeyTTL: DefaultKeyTTL, MaxBody: DefaultMaxBody,
		Retry:      estate.RetryPolicy{BudgetShare: DefaultRetryBudgetShare, MaxAttempts: DefaultRetryMaxAttempts},
		HedgeAfter: DefaultHedgeAfter,
	}}
	v.fields(map[string]func(value){
		"lookup_ttl":      func(v value) { v.duration(&s.LookupTTL, false) },
		"deadline":        func(v value) { v.duration(&s.Deadline, false) },
		"mean_time":       func(v value) { v.duration(&s.MeanTime, false) },
		"max_utilisation": func(v value) { v.share(&s.MaxUtilisation, false) },
		"key_ttl":         func(v value) { v.duration(&s.KeyTTL, false) },
		"max_body":        func(v value) { v.size(&s.MaxBody) },
		"hedge_after":     func(v value) { v.duration(&s.HedgeAfter, true) },
		"retry":           func(v value) { decodeRetry(v, &s.Retry) },
		"slots":           func(v value) { v.count(&s.defaults.slots) },
		"connections":     func(v value) { v.count(&s.defaults.connections) },
		"weights":         func(v value) { s.decodeWeights(v) },
		"operations":      func(v value) { v.named(s.decodeOperation) },
		"backends":        func(v value) { v.list(s.decodeGroup) },
	}, "operations")
	s.checkTimes(v)
	b.services = append(b.services, s)
}

// checkTimes compares the times of a service with each other.
func (s *service) checkTimes(v value) {
	if s.MeanTime > s.Deadline {
		v.c.fault(KindOutOfRange, v.c.at(v.at.path+".mean_time"), "lower mean_time or raise deadline",
			"mean_time %s is above the deadline %s", s.MeanTime, s.Deadline)
	}
	if s.HedgeAfter >= s.Deadline {
		v.c.fault(KindOutOfRange, v.c.at(v.at.path+".hedge_after"), "lower hedge_after or leave it out",
			"hedge_after %s is not below the deadline %s", s.HedgeAfter, s.Deadline)
	}
	if s.KeyTTL > estate.MaxKeyTTL {
		v.c.fault(KindOutOfRange, v.c.at(v.at.path+".key_ttl"), fmt.Sprintf("lower key_ttl to at most %s", estate.MaxKeyTTL),
			"key_ttl %s is above %s", s.KeyTTL, estate.MaxKeyTTL)
	}
	if s.KeyTTL < s.Deadline {
		v.c.fault(KindOutOfRange, v.c.at(v.at.path+".key_ttl"), "raise key_ttl to at least the deadline",
			"key_ttl %s is below the deadline %s", s.KeyTTL, s.Deadline)
	}
}

func decodeRetry(v value, r *estate.RetryPolicy) {
	v.fields(map[string]func(value){
		"budget_share": func(v value) { v.share(&r.BudgetShare, true) },
		"max_attempts": func(v value) { v.count(&r.MaxAttempts) },
	})
}

func (s *service) decodeWeights(v value) {
	s.Weights = map[string]float64{}
	v.named(func(zone string, v value) {
		var w float64
		v.share(&w, false)
		s.Weights[zone] = w
	})
}

var methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

func (s *service) decodeOperation(name string, v value) {
	o := estate.Operation{Name: name}
	v.fields(map[string]func(value){
		"method":      func(v value) { decodeMethod(v, &o.Method) },
		"path_prefix": func(v value) { decodePathPrefix(v, &o.PathPrefix) },
		"idempotent":  func(v value) { v.bool(&o.Idempotent) },
	}, "method", "path_prefix", "idempotent")
	for _, other := range s.Operations {
		if o.PathPrefix != "" && other.Method == o.Method && other.PathPrefix == o.PathPrefix {
			v.fault(KindDuplicateName, "change the method or path_prefix of one of them",
				"the operation %q has the same method and path_prefix", other.Name)
		}
	}
	s.Operations = append(s.Operations, o)
}

func decodeMethod(v value, to *string) {
	m, ok := v.text("a method")
	if !ok {
		return
	}
	if !slices.Contains(methods, m) {
		v.fault(KindOutOfRange, "use one of "+strings.Join(methods, ", "), "%q is no method", m)
		return
	}
	*to = m
}

func decodePathPrefix(v value, to *string) {
	p, ok := v.text("a path")
	if !ok {
		return
	}
	if !strings.HasPrefix(p, "/") || strings.ContainsAny(p, " ?#") {
		v.fault(KindOutOfRange, "write a path that begins with / and has no query", "%q is no path", p)
		return
	}
	*to = p
}

func (s *service) decodeGroup(v value) {
	g := group{service: s.Name}
	g.decode(v, map[string]func(value){
		"site": func(v value) { v.name(&g.site) },
	}, "site")
	s.groups = append(s.groups, g)
}

// decode reads a group; more and required are the fields that only the base
// file or only an overlay has.
func (g *group) decode(v value, more map[string]func(value), required ...string) {
	g.at, g.count, g.increment, g.state = v.at, 1, incrementPort, estate.Active
	known := map[string]func(value){
		"name":        func(v value) { v.string(&g.name) },
		"count":       func(v value) { v.count(&g.count) },
		"address":     func(v value) { decodeAddress(v, &g.address) },
		"increment":   func(v value) { decodeIncrement(v, &g.increment) },
		"slots":       func(v value) { v.count(&g.limits.slots) },
		"connections": func(v value) { v.count(&g.limits.connections) },
		"state":       func(v value) { v.state(&g.state) },
	}
	maps.Copy(known, more)
	v.fields(known, append(required, "name", "address")...)
	g.check(v)
}

func (g *group) check(v value) {
	if g.count > maxGroupCount {
		v.fault(KindOutOfRange, "split the group", "count %d is above %d", g.count, maxGroupCount)
		g.count = 1
	}
	if g.count > 1 && !strings.Contains(g.name, "{n}") {
		v.fault(KindOutOfRange, "put {n} into the name, as scoring-{n}", "a group of %d needs a name with {n}", g.count)
		g.count = 1
	}
	if g.name != "" {
		v.c.checkName(strings.ReplaceAll(g.name, "{n}", strconv.Itoa(g.count)), g.at)
	}
}

func decodeIncrement(v value, to *increment) {
	s, ok := v.text("port or ip")
	if !ok {
		return
	}
	if i := increment(s); i == incrementPort || i == incrementIP {
		*to = i
		return
	}
	v.fault(KindOutOfRange, "write port or ip", "%q is no increment", s)
}

func decodeAddress(v value, to *string) {
	s, ok := v.text("an address")
	if !ok {
		return
	}
	ap, err := netip.ParseAddrPort(s)
	if err != nil || ap.Port() == 0 || ap.Addr().Zone() != "" {
		v.fault(KindOutOfRange, "write an IP number and a port, as 127.0.0.1:21000", "%q is no address", s)
		return
	}
	*to = ap.String()
}

// expand returns the group's backend servers.
func (g *group) expand(c *collector, zone string, l limits) []estate.Backend {
	ap, err := netip.ParseAddrPort(g.address)
	if err != nil || g.name == "" {
		return nil // a fault was recorded when the group was read
	}
	out := make([]estate.Backend, 0, g.count)
	for n := range g.count {
		out = append(out, estate.Backend{
			Name: strings.ReplaceAll(g.name, "{n}", strconv.Itoa(n+1)), Site: g.site, Zone: zone,
			Address: ap.String(), Slots: l.slots, MaxConnections: l.connections, State: g.state,
		})
		next, ok := g.increment.next(ap)
		if !ok && n+1 < g.count {
			c.fault(KindOutOfRange, g.at, "lower the address or the count", "the addresses run out after %s", ap)
			break
		}
		ap = next
	}
	return out
}

func (i increment) next(ap netip.AddrPort) (netip.AddrPort, bool) {
	if i == incrementIP {
		a := ap.Addr().Next()
		return netip.AddrPortFrom(a, ap.Port()), a.IsValid()
	}
	p := ap.Port() + 1
	return netip.AddrPortFrom(ap.Addr(), p), p != 0
}

func (c *collector) decodeOverlay(file string, data []byte) (o overlay, ok bool) {
	v, ok := c.parseYAML(file, data)
	if !ok {
		return o, false
	}
	// Paths of an overlay begin with its file so that places stay distinct.
	o = overlay{file: file, services: map[string]limits{}, backends: map[string]change{}}
	v.at.path = file
	v.fields(map[string]func(value){
		"site":     func(v value) { v.name(&o.site) },
		"state":    func(v value) { v.state(&o.state) },
		"weight":   func(v value) { v.share(&o.weight, false) },
		"services": func(v value) { v.named(o.decodeServiceLimits) },
		"backends": func(v value) { v.named(o.decodeChange) },
		"add":      func(v value) { v.list(o.decodeAdded) },
	}, "site")
	if want := overlayFile(o.site); o.site != "" && want != file {
		c.fault(KindForeign, c.at(file+".site"), fmt.Sprintf("rename the file to %s or correct site", want),
			"the overlay is of site %q", o.site)
		return o, false
	}
	return o, o.site != ""
}

func (o *overlay) decodeServiceLimits(name string, v value) {
	var l limits
	v.fields(map[string]func(value){
		"slots":       func(v value) { v.count(&l.slots) },
		"connections": func(v value) { v.count(&l.connections) },
	})
	o.services[name] = l
}

func (o *overlay) decodeChange(name string, v value) {
	ch := change{at: v.at}
	v.fields(map[string]func(value){
		"slots":       func(v value) { v.count(&ch.limits.slots) },
		"connections": func(v value) { v.count(&ch.limits.connections) },
		"state":       func(v value) { v.state(&ch.state) },
	})
	o.backends[name] = ch
}

func (o *overlay) decodeAdded(v value) {
	g := group{site: o.site}
	g.decode(v, map[string]func(value){
		"service": func(v value) { v.name(&g.service) },
	}, "service")
	o.add = append(o.add, g)
}
