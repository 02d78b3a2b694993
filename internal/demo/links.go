package demo

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

// linkUses returns the use of every link, in order.
func (d *demo) linkUses(runs []backend.Run) []LinkUse {
	crossing := crossings(d.report.Load.Records, runs, d.regionsOf())
	var out []LinkUse
	for _, name := range d.watch.linkNames() {
		l, _ := d.estate.LinkOf(name.from, name.to)
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
func (d *demo) regionsOf() map[string]string {
	out := map[string]string{}
	for _, e := range d.entries {
		out[e.id] = d.watch.region(e.zone)
	}
	for _, s := range d.estate.Services {
		for _, b := range s.Backends {
			out[b.Name] = d.watch.region(b.Zone)
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
