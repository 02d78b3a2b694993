package scenario

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// args are the name=value arguments of a line, and the plain words before
// them.
type args struct {
	words  []string
	values map[string]string
}

func parseArgs(fields []string) args {
	a := args{values: map[string]string{}}
	for _, f := range fields {
		if name, value, ok := strings.Cut(f, "="); ok && !strings.HasPrefix(name, "/") {
			a.values[name] = value
			continue
		}
		a.words = append(a.words, f)
	}
	return a
}

func (a args) text(name, def string) string {
	if v, ok := a.values[name]; ok {
		return v
	}
	return def
}

func (a args) number(name string, def int) int {
	if n, err := strconv.Atoi(a.values[name]); err == nil {
		return n
	}
	return def
}

func (a args) time(name string, def time.Duration) time.Duration {
	if d, err := time.ParseDuration(a.values[name]); err == nil {
		return d
	}
	return def
}

func (a args) word(i int) string {
	if i < len(a.words) {
		return a.words[i]
	}
	return ""
}

// demand is the expected load of each region's callers, in requests per
// second.
const demand = 10

// build reads the lines of a world block.
func (w *world) build(input string) error {
	w.estate.Shift = estate.ShiftPolicy{MaxShare: 0.5, ColdShare: 0.5, ColdTime: time.Second}
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		if err := w.buildLine(fields[0], parseArgs(fields[1:])); err != nil {
			return errors.Annotatef(err, "line %q", line)
		}
	}
	share := 1 / float64(len(w.estate.Zones))
	for i := range w.estate.Services {
		weights := map[string]float64{}
		for _, z := range w.estate.Zones {
			weights[z.Name] = share
		}
		w.estate.Services[i].Weights = weights
	}
	return nil
}

func (w *world) buildLine(kind string, a args) error {
	e := w.estate
	switch kind {
	case "region":
		e.Blocks = append(e.Blocks, estate.Block{Prefix: blockOf(len(e.Regions)), Region: a.word(0), Demand: demand})
		e.Regions = append(e.Regions, estate.Region{Name: a.word(0)})
		for zone := range strings.SplitSeq(a.text("zones", ""), ",") {
			e.Zones = append(e.Zones, estate.Zone{Name: zone, Region: a.word(0)})
			e.Sites = append(e.Sites, estate.Site{Name: zone + "-1", Zone: zone, Weight: 1})
		}
	case "link":
		e.Links = append(e.Links, estate.Link{
			From: a.word(0), To: a.word(1), MaxInFlight: a.number("in-flight", 100), MaxRate: float64(a.number("rate", 1000)),
		})
		slices.SortFunc(e.Links, estate.Link.Compare)
	case "service":
		e.Services = append(e.Services, serviceOf(a))
	case "backend":
		return w.addBackend(a.text("service", "loans"), a.word(0), a.text("zone", ""), a.number("slots", 2), a.number("queue", 4))
	case "shift":
		share, err := strconv.ParseFloat(a.text("share", "0.5"), 64)
		if err != nil {
			return errors.Trace(err)
		}
		e.Shift = estate.ShiftPolicy{MaxShare: share, ColdShare: share, ColdTime: a.time("cold", time.Second)}
	default:
		return errors.NotSupportedf("%q", kind)
	}
	return nil
}

func serviceOf(a args) estate.Service {
	return estate.Service{
		Name: a.word(0), LookupTTL: a.time("ttl", 300*time.Millisecond), Deadline: a.time("deadline", 20*time.Second),
		MeanTime: 10 * time.Millisecond, MaxUtilisation: 0.8, KeyTTL: time.Minute, MaxBody: 1 << 20,
		Retry: estate.RetryPolicy{BudgetShare: 0.2, MaxAttempts: 4}, HedgeAfter: a.time("hedge", 0),
		Operations: []estate.Operation{
			{Name: "decide", Method: "POST", PathPrefix: "/decisions"},
			{Name: "read", Method: "GET", PathPrefix: "/", Idempotent: true},
		},
	}
}

// declare changes the estate; apply puts it in force.
func (w *world) declare(a args) error {
	name, state := a.word(1), estate.State(a.word(2))
	if state == "active" {
		state = estate.Active
	}
	now := time.Now()
	switch a.word(0) {
	case "region":
		for i := range w.estate.Regions {
			if w.estate.Regions[i].Name == name {
				w.estate.Regions[i].State = state
				return nil
			}
		}
	case "zone":
		for i := range w.estate.Zones {
			if w.estate.Zones[i].Name == name {
				w.estate.Zones[i].State = state
				return nil
			}
		}
	case "backend":
		for i := range w.estate.Services {
			for j := range w.estate.Services[i].Backends {
				if b := &w.estate.Services[i].Backends[j]; b.Name == name {
					b.State, b.Since = state, now
					return nil
				}
			}
		}
	case "link":
		for i := range w.estate.Links {
			if l := &w.estate.Links[i]; l.From == name && l.To == a.word(2) {
				l.MaxInFlight = a.number("in-flight", l.MaxInFlight)
				return nil
			}
		}
	}
	return errors.NotFoundf("%s %q", a.word(0), name)
}
