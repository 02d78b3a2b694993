package scenario

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/operator"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
)

const (
	// waitLimit bounds every wait; it is generous for busy machines, and no
	// promise is tested by it alone.
	waitLimit   = 20 * time.Second
	waitPoll    = 10 * time.Millisecond
	statusLimit = 2 * time.Second
	settledTime = 500 * time.Millisecond
)

// conditions are what wait, expect and never know:
//
//	version N [on=ID,...]          the version is in force there, everywhere if left out
//	owners                         every backend server has a running owner that may use it
//	settled                        owners, and every running instance knows of all free
//	                               slots, for a while
//	owner BACKEND ID               as every running instance of its zone sees it
//	seen at=ID of=ID state=S       state is live, leaving, suspect, gone or unknown
//	busy BACKEND N                 N requests hold slots there
//	over BACKEND N                 more than N requests hold slots there
//	runs REQUEST N                 backend servers began to run it N times
//	more REQUEST N                 they began to run it more than N times
//	exited ID                      the instance has ended
//	free at=ID zone=Z n=N          slots reported free, as the instance knows
//	platform at=ID state=up|down   as the instance sees it
//	backend at=ID NAME STATE       healthy, suspect, ejected, draining or cold
//	closed BACKEND                 its owner gives it no new work
//	rights FROM TO N               rights of all running instances on a link add up to N
//	right at=ID FROM TO            the instance has a right on a link
//	links FROM TO N                what they have in flight on a link adds up to N
//	first at=ID from=REGION ZONE   first zone of a look-up
//	share at=ID from=REGION zone=Z min=X max=X
//	                               share of callers whose first zone it is, in percent
//	absent at=ID ID                look-ups don't name the instance
//	ended REQUEST                  the request has ended
var conditions = map[string]func(w *world, a args) bool{
	"version":  (*world).versionIs,
	"owners":   func(w *world, _ args) bool { return w.allOwned() },
	"settled":  func(w *world, _ args) bool { return w.settled(time.Now()) },
	"owner":    (*world).ownerIs,
	"seen":     (*world).seenAs,
	"busy":     func(w *world, a args) bool { return w.busy(a.word(0)) == atoi(a.word(1)) },
	"over":     func(w *world, a args) bool { return w.busy(a.word(0)) > atoi(a.word(1)) },
	"more":     func(w *world, a args) bool { return len(w.runsOf(w.requests[a.word(0)].token)) > atoi(a.word(1)) },
	"runs":     func(w *world, a args) bool { return len(w.runsOf(w.requests[a.word(0)].token)) == atoi(a.word(1)) },
	"exited":   func(w *world, a args) bool { return isClosed(w.instances[a.word(0)].ended) },
	"ended":    func(w *world, a args) bool { return isClosed(w.requests[a.word(0)].ended) },
	"free":     (*world).freeIs,
	"platform": func(w *world, a args) bool { return w.platformSeen(a.text("at", "")) == a.text("state", "up") },
	"backend":  (*world).backendIs,
	"closed":   (*world).closed,
	"rights":   func(w *world, a args) bool { return w.linkSum(a, linkRights) == atoi(a.word(2)) },
	"links":    func(w *world, a args) bool { return w.linkSum(a, linkInFlight) == atoi(a.word(2)) },
	"right":    (*world).hasRight,
	"first":    (*world).firstIs,
	"share":    (*world).shareIs,
	"absent":   (*world).absent,
}

func atoi(s string) int { return args{values: map[string]string{"n": s}}.number("n", -1) }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// until polls a condition.
func until(limit time.Duration, cond func() bool) bool {
	deadline := time.Now().Add(limit)
	for !cond() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(waitPoll)
	}
	return true
}

// running returns the names of the instances that are neither killed nor
// stopped.
func (w *world) running() []string {
	var out []string
	for id, in := range w.instances {
		if !in.down && !isClosed(in.ended) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// status asks an instance; the zero value stands for no answer.
func (w *world) status(id string) operator.Status {
	var s operator.Status
	in := w.instances[id]
	if in == nil {
		return s
	}
	ctx, cancel := context.WithTimeout(context.Background(), statusLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.addr.Operator+"/v1/status", nil)
	if err != nil {
		return s
	}
	res, err := oneShot().Do(req)
	if err != nil {
		return s
	}
	defer func() { _ = res.Body.Close() }()
	if json.NewDecoder(res.Body).Decode(&s) != nil {
		return operator.Status{}
	}
	return s
}

func (w *world) versionIs(a args) bool {
	on := w.running()
	if list := a.text("on", ""); list != "" {
		on = strings.Split(list, ",")
	}
	for _, id := range on {
		if w.status(id).Version != uint64(atoi(a.word(0))) {
			return false
		}
	}
	return true
}

func (w *world) allOwned() bool {
	owned := map[string]bool{}
	zones := map[string]bool{}
	for _, id := range w.running() {
		zones[w.instances[id].zone] = true
		for _, b := range w.status(id).Backends {
			if b.Owner == id && b.State != "" {
				owned[b.Name] = true
			}
		}
	}
	for _, s := range w.estate.Services {
		for _, b := range s.Backends {
			if zones[b.Zone] && !owned[b.Name] {
				return false
			}
		}
	}
	return true
}

// settled reports whether ownership and the knowledge of free slots have been
// complete for settledTime: an instance that joins is given a share of the
// backend servers, each of which takes no work while it changes hands.
func (w *world) settled(now time.Time) bool {
	if !w.allOwned() || !w.slotsKnown() {
		w.settledSince = time.Time{}
		return false
	}
	if w.settledSince.IsZero() {
		w.settledSince = now
	}
	return now.Sub(w.settledSince) >= settledTime
}

// slotsKnown reports whether every running instance knows that all slots of
// zones with a running instance are free.
func (w *world) slotsKnown() bool {
	zones := map[string]bool{}
	for _, id := range w.running() {
		zones[w.instances[id].zone] = true
	}
	for _, id := range w.running() {
		for _, s := range w.status(id).Services {
			for _, z := range s.Zones {
				if zones[z.Zone] && z.Free != w.slots(s.Name, z.Zone) {
					return false
				}
			}
		}
	}
	return true
}

// slots returns the declared slots of a service in a zone.
func (w *world) slots(service, zone string) int {
	n := 0
	for _, b := range w.estate.ServiceOf(service).Backends {
		if b.Zone == zone && !w.estate.BackendDraining(b) {
			n += b.Slots
		}
	}
	return n
}

func (w *world) ownerIs(a args) bool {
	found := false
	for _, id := range w.running() {
		for _, b := range w.status(id).Backends {
			if b.Name == a.word(0) {
				found = true
				if b.Owner != a.word(1) {
					return false
				}
			}
		}
	}
	return found
}

func (w *world) seenAs(a args) bool {
	state := "unknown"
	var newest uint64
	for _, in := range w.status(a.text("at", "")).Instances {
		if in.ID == a.text("of", "") && in.Incarnation > newest {
			state, newest = in.State, in.Incarnation
		}
	}
	return state == a.text("state", "")
}

func (w *world) busy(name string) int {
	b := w.backends[name]
	if b == nil {
		return -1
	}
	return b.Load().Busy
}

func (w *world) freeIs(a args) bool {
	for _, s := range w.status(a.text("at", "")).Services {
		if s.Name != a.text("service", "loans") {
			continue
		}
		for _, z := range s.Zones {
			if z.Zone == a.text("zone", "") {
				return z.Free == a.number("n", -1)
			}
		}
	}
	return false
}

func (w *world) platformSeen(id string) string {
	if w.status(id).PlatformUp {
		return "up"
	}
	return "down"
}

func (w *world) backendIs(a args) bool {
	for _, b := range w.status(a.text("at", "")).Backends {
		if b.Name == a.word(0) {
			return b.State == a.word(1)
		}
	}
	return false
}

func (w *world) closed(a args) bool {
	for _, id := range w.running() {
		for _, b := range w.status(id).Backends {
			if b.Name == a.word(0) && b.Owner == id {
				return b.State != "healthy" && b.State != "cold" && b.State != "suspect"
			}
		}
	}
	return false
}

func linkRights(l operator.LinkStatus) int   { return l.RightsInFlight }
func linkInFlight(l operator.LinkStatus) int { return l.InFlight }

func (w *world) hasRight(a args) bool {
	for _, l := range w.status(a.text("at", "")).Links {
		if l.From == a.word(0) && l.To == a.word(1) {
			return l.RightsInFlight > 0
		}
	}
	return false
}

// linkSum adds up a figure of a link over the running instances.
func (w *world) linkSum(a args, figure func(operator.LinkStatus) int) int {
	sum := 0
	for _, id := range w.running() {
		for _, l := range w.status(id).Links {
			if l.From == a.word(0) && l.To == a.word(1) {
				sum += figure(l)
			}
		}
	}
	return sum
}

func (w *world) firstIs(a args) bool {
	answer, err := w.lookup(a.text("at", ""), a.text("service", "loans"), w.caller(a.text("from", ""), a.number("n", 0)))
	return err == nil && answer.Instances[0].Zone == a.word(0)
}

// shareIs looks up for callers of many units of steering.
func (w *world) shareIs(a args) bool {
	const callers = 100
	first := 0
	for n := range callers {
		answer, err := w.lookup(a.text("at", ""), a.text("service", "loans"), w.caller(a.text("from", ""), n))
		if err == nil && answer.Instances[0].Zone == a.text("zone", "") {
			first++
		}
	}
	return first >= a.number("min", 0) && first <= a.number("max", callers)
}

func (w *world) absent(a args) bool {
	for n := range 16 {
		answer, err := w.lookup(a.text("at", ""), a.text("service", "loans"), w.caller(a.text("from", ""), n))
		if err != nil {
			return false
		}
		for _, in := range answer.Instances {
			if in.ID == a.word(0) {
				return false
			}
		}
	}
	return true
}

// condition returns the named condition with its arguments bound.
func (w *world) condition(fields []string) (func() bool, args, error) {
	if len(fields) == 0 {
		return nil, args{}, errors.New("which condition?")
	}
	f := conditions[fields[0]]
	if f == nil {
		return nil, args{}, errors.NotFoundf("condition %q", fields[0])
	}
	a := parseArgs(fields[1:])
	return func() bool { return f(w, a) }, a, nil
}

// peak returns the most requests that held slots of a backend server at once,
// counted from its run log.
func peak(runs []backend.Run) int {
	most := 0
	for _, r := range runs {
		n := 0
		for _, o := range runs {
			if !o.Started.After(r.Started) && (o.Ended.IsZero() || o.Ended.After(r.Started)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
