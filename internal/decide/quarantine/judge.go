package quarantine

import (
	"slices"
	"time"
)

const (
	// minCrashes is the number of successive runs, each of which ended with a crash,
	// at which a request is quarantined if backend servers are shared.
	minCrashes = 3
	// minCrashesAmongOthers applies instead if the crashes may have another cause.
	minCrashesAmongOthers = 5
)

// judge reports whether the runs of a request prove that it crashes backend servers.
//
// Only successive runs count, and none in which a quarantined request was in flight.
// More of them are needed while backend servers crash more often without the request
// than with it, or while another request that crashed backend servers repeatedly was in
// flight too: then the request may only have been in flight in crashes with another
// cause.
func (m *Machine) judge(fp Fingerprint) bool {
	runs := m.unexplainedRuns(fp)
	crashes := successiveRuns(runs)
	if crashes < minCrashes {
		return false
	}
	if crashes >= minCrashesAmongOthers {
		return true
	}
	return moments(m.otherCrashes(fp, runs)) <= crashes && successiveRuns(m.runsAlone(fp, runs)) >= minCrashes-1
}

// unexplainedRuns returns the runs of a request in which no other quarantined request
// was in flight.
func (m *Machine) unexplainedRuns(fp Fingerprint) []Run {
	runs := m.entries[fp].runs
	for other, e := range m.entries {
		if other != fp && e.quarantined {
			runs = withoutRuns(runs, e.runs)
		}
	}
	return runs
}

// otherCrashes returns the crashes during the given runs of a request in which the
// request was not in flight. Crashes that another request explains, because it is
// quarantined or has as many crashes as are needed for that, are left out.
func (m *Machine) otherCrashes(fp Fingerprint, runs []Run) []Run {
	begin, end := span(runs)
	var others, explained []Run
	for other, e := range m.entries {
		if other == fp {
			continue
		}
		if e.quarantined || successiveRuns(e.runs) >= minCrashes {
			explained = append(explained, e.runs...)
			continue
		}
		for _, r := range slices.Concat(e.runs, e.voided) {
			if !r.Crashed.Before(begin) && !r.Crashed.After(end) {
				others = append(others, r)
			}
		}
	}
	return withoutRuns(withoutRuns(others, runs), explained)
}

// span returns the time from which on the first of the runs was in flight, and the
// time of the last crash.
func span(runs []Run) (begin, end time.Time) {
	for _, r := range runs {
		if begin.IsZero() || r.Sent.Before(begin) {
			begin = r.Sent
		}
		if r.Crashed.After(end) {
			end = r.Crashed
		}
	}
	return begin, end
}

// runsAlone returns the runs, except the newest one, in which no other suspect was in
// flight that has crashed backend servers repeatedly, or was in flight in more crashes,
// even in overlapping runs. Who was in flight in the newest
// run is not known yet, because the notices of other instances may be on their way.
func (m *Machine) runsAlone(fp Fingerprint, runs []Run) []Run {
	ordered := byCrashTime(runs)
	alone := ordered[:len(ordered)-1]
	for other, e := range m.entries {
		repeats := successiveRuns(e.runs) > 1 || len(e.runs) > len(runs)
		if other != fp && !e.quarantined && repeats {
			alone = withoutRuns(alone, e.runs)
		}
	}
	return alone
}

const (
	// manyCauses is the number of requests that must be needed to explain the unexplained
	// crashes of the last causesPeriod for suspects to be confined. Crashes by one request,
	// which is quarantined soon, don't need that many.
	manyCauses = 3
	// causesPeriod is long enough for confined suspects to be quarantined in turn.
	causesPeriod = time.Minute
)

// ConfinesSuspects reports whether suspects may only be sent to few backend servers, because
// many requests seem to crash them.
func (m *Machine) ConfinesSuspects(now time.Time) bool {
	return m.causes(now, manyCauses) == manyCauses
}

// causes returns how many requests it takes to explain the crashes of the last causesPeriod
// that no quarantined request explains, found by taking the one that was in flight in most
// of them first. It returns at most limit.
func (m *Machine) causes(now time.Time, limit int) int {
	unexplained := m.unexplainedIncidents(now.Add(-causesPeriod))
	causes := 0
	for causes < limit && len(unexplained) > 0 {
		for _, r := range m.mostPresent(unexplained) {
			delete(unexplained, r.Incident)
		}
		causes++
	}
	return causes
}

// unexplainedIncidents returns the crashes after the given time that no quarantined request
// explains.
func (m *Machine) unexplainedIncidents(since time.Time) map[Incident]bool {
	incidents := map[Incident]bool{}
	for _, e := range m.entries {
		for _, r := range e.runs {
			if r.Crashed.After(since) {
				incidents[r.Incident] = true
			}
		}
	}
	for _, e := range m.entries {
		if !e.quarantined {
			continue
		}
		for _, r := range e.runs {
			delete(incidents, r.Incident)
		}
	}
	return incidents
}

// mostPresent returns the runs of the request that was in flight in most of the incidents,
// and of several such requests, of the one with the lowest fingerprint.
func (m *Machine) mostPresent(incidents map[Incident]bool) []Run {
	var most Fingerprint
	mostIncidents := 0
	for fp, e := range m.entries {
		present := 0
		for _, r := range e.runs {
			if incidents[r.Incident] {
				present++
			}
		}
		if present > mostIncidents || present == mostIncidents && fp < most {
			most, mostIncidents = fp, present
		}
	}
	return m.entries[most].runs
}
