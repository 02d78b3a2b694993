package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRuns bounds the runs that are kept for one request.
	maxRuns = 8
	// sameMomentWindow is the time within which crashes of several backend servers
	// count as one moment, since one cause may have ended them all.
	sameMomentWindow = time.Second
)

// Run is a run of a request that ended with the crash of its backend server.
type Run struct {
	// Incident is the crash.
	Incident Incident
	// Sent is when the request was sent, and Crashed when the crash was noticed, on
	// the clock of the instance that sent the request. They are zero if unknown.
	Sent, Crashed time.Time
}

// newRun returns a run with its times in the precision of notices, so that an instance
// judges its own runs as the others do.
func newRun(i Incident, sent, crashed time.Time) Run {
	return Run{Incident: i, Sent: sent.Truncate(time.Millisecond), Crashed: crashed.Truncate(time.Millisecond)}
}

// mergeRuns returns the union of two lists of runs, by incident. If it is longer than
// maxRuns, only the first and the newest runs are kept. The result is sorted by incident.
func mergeRuns(a, b []Run) []Run {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(x, y Run) int { return cmp.Compare(x.Incident, y.Incident) })
	all = slices.CompactFunc(all, func(x, y Run) bool { return x.Incident == y.Incident })
	if len(all) > maxRuns {
		slices.SortStableFunc(all, func(x, y Run) int { return y.Crashed.Compare(x.Crashed) })
		all[maxRuns-1] = all[len(all)-1]
		all = all[:maxRuns]
		slices.SortFunc(all, func(x, y Run) int { return cmp.Compare(x.Incident, y.Incident) })
	}
	return all
}

// withoutRuns returns the runs whose incidents are not among those of removed.
func withoutRuns(runs, removed []Run) []Run {
	return slices.DeleteFunc(slices.Clone(runs), func(r Run) bool { return hasIncident(removed, r.Incident) })
}

func hasIncident(runs []Run, i Incident) bool {
	return slices.ContainsFunc(runs, func(r Run) bool { return r.Incident == i })
}

// successiveRuns returns the largest number of runs of which none was sent before
// another one had crashed. Copies of a request that run at the same time may all end
// by one cause that is not the request, so that they count once.
func successiveRuns(runs []Run) int {
	count, lastCrash := 0, time.Time{}
	for _, r := range byCrashTime(runs) {
		if count == 0 || !r.Sent.Before(lastCrash) {
			count, lastCrash = count+1, r.Crashed
		}
	}
	return count
}

// moments returns the number of moments at which the runs crashed. Crashes within
// sameMomentWindow of the first one of a moment belong to it.
func moments(runs []Run) int {
	count, begin := 0, time.Time{}
	for _, r := range byCrashTime(runs) {
		if count == 0 || r.Crashed.Sub(begin) > sameMomentWindow {
			count, begin = count+1, r.Crashed
		}
	}
	return count
}

// byCrashTime returns the runs ordered by the time of the crash, then by the time at
// which they were sent.
func byCrashTime(runs []Run) []Run {
	return slices.SortedStableFunc(slices.Values(runs), func(x, y Run) int {
		return cmp.Or(x.Crashed.Compare(y.Crashed), x.Sent.Compare(y.Sent))
	})
}
