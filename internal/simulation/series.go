package simulation

import (
	"fmt"
	"slices"
	"time"
)

// Second is what was seen in one second.
type Second struct {
	// Sent counts the requests that were sent; Served, Refused and Failed what became of them.
	Sent, Served, Refused, Failed int
	// Arrivals counts the requests that reached backend servers.
	Arrivals int
	// TableAge is the largest age of the operator's table by which a request was sent.
	TableAge time.Duration
}

// secondsOf returns what was seen in each second since the traffic began.
func secondsOf(o *Observations, ages []tableAge) []Second {
	var all []Second
	at := func(t time.Time) *Second {
		n := max(0, int(t.Sub(o.Began)/time.Second))
		for len(all) <= n {
			all = append(all, Second{})
		}
		return &all[n]
	}
	for _, r := range o.Requests {
		s := at(r.Sent)
		s.Sent++
		switch {
		case r.served():
			s.Served++
		case r.Err == nil && refuses(r.Status):
			s.Refused++
		default:
			s.Failed++
		}
	}
	for _, a := range o.Arrivals {
		at(a.At).Arrivals++
	}
	for _, a := range ages {
		s := at(a.at)
		s.TableAge = max(s.TableAge, a.age)
	}
	return all
}

// lifeOf returns what became of the request that log has followed, a line for each event.
func lifeOf(o *Observations, log *logLines) []string {
	lines := slices.Clone(log.lines)
	for _, r := range o.Requests {
		if r.ID != log.follow {
			continue
		}
		lines = append(lines, logLine{At: r.Sent, Text: fmt.Sprintf("the caller sends it to %s: %s", r.Instance, r.Route.Prefix)})
		end := fmt.Sprintf("the caller gets %d, signed %q", r.Status, r.Stamp)
		if r.Err != nil {
			end = fmt.Sprintf("the caller gets no answer: %v", r.Err)
		}
		lines = append(lines, logLine{At: r.Ended, Text: end})
	}
	for _, a := range o.Arrivals {
		if a.ID != log.follow {
			continue
		}
		what := "turns it away"
		if a.Ran {
			what = "runs it"
		}
		lines = append(lines, logLine{At: a.At, Text: fmt.Sprintf("%s in %s %s; it came from %s", a.Backend, a.Zone, what, a.Node)})
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.At.Compare(b.At) })
	var life []string
	for _, l := range lines {
		life = append(life, fmt.Sprintf("%9.4f s  %s", l.At.Sub(o.Began).Seconds(), l.Text))
	}
	return life
}
