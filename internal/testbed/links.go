package testbed

import (
	"cmp"
	"slices"
	"time"

	"github.com/banyandeal/banyandeal/internal/bench"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
)

// LinkUse is what the run logs tell of a link: requests that entered in its
// one region and were run in its other. A request holds the link for longer
// than its run, so MostInFlight is the least that the true figure can be.
type LinkUse struct {
	Name         string
	Requests     int
	MaxInFlight  int
	MostInFlight int
	// MaxRate is the cap per second, MostStarted the most runs that started
	// within one second.
	MaxRate     float64
	MostStarted int
}

// LinkUses returns the use of every link by records and run logs, in order.
func (b *Bed) LinkUses(records []bench.Record, runs []backend.Run) []LinkUse {
	crossing := crossings(records, runs, b.regionsOf())
	var out []LinkUse
	for _, name := range b.Watch.linkNames() {
		l, _ := b.Estate.LinkOf(name.from, name.to)
		on := crossing[name]
		out = append(out, LinkUse{
			Name: name.from + " to " + name.to, Requests: len(on),
			MaxInFlight: l.MaxInFlight, MostInFlight: mostInFlight(on),
			MaxRate: l.MaxRate, MostStarted: mostStarted(on, time.Second),
		})
	}
	return out
}

// regionsOf returns the region of each entry instance and backend server.
func (b *Bed) regionsOf() map[string]string {
	out := map[string]string{}
	for _, e := range b.Entries {
		out[e.ID] = b.Watch.Region(e.Zone)
	}
	for _, s := range b.Estate.Services {
		for _, be := range s.Backends {
			out[be.Name] = b.Watch.Region(be.Zone)
		}
	}
	return out
}

// crossings returns the runs of answered requests by the link between the
// region they entered in and the region they were run in, by start.
func crossings(records []bench.Record, runs []backend.Run, region map[string]string) map[linkName][]backend.Run {
	type id struct {
		backend string
		number  uint64
		url     string
	}
	byID := map[id]backend.Run{}
	for _, r := range runs {
		byID[id{r.Backend, r.Number, r.URL}] = r
	}
	out := map[linkName][]backend.Run{}
	for _, rec := range records {
		run, ok := byID[id{rec.Answer.Backend, rec.Answer.Run, rec.Answer.URL}]
		link := linkName{region[rec.Entry], region[run.Backend]}
		if ok && rec.End == bench.Done && link.from != link.to {
			out[link] = append(out[link], run)
		}
	}
	for _, on := range out {
		slices.SortFunc(on, func(a, b backend.Run) int { return cmp.Compare(a.Started.UnixNano(), b.Started.UnixNano()) })
	}
	return out
}

// mostInFlight returns the most runs in progress at once. runs are ordered by
// start.
func mostInFlight(runs []backend.Run) int {
	most := 0
	for _, r := range runs {
		n := 0
		for _, o := range runs {
			if !o.Started.After(r.Started) && o.Ended.After(r.Started) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// mostStarted returns the most runs that started within a window. runs are
// ordered by start.
func mostStarted(runs []backend.Run, window time.Duration) int {
	most, first := 0, 0
	for i, r := range runs {
		for r.Started.Sub(runs[first].Started) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
