package simulation

import (
	"io"
	"strings"
	"time"
)

// Run is how a day is played.
type Run struct {
	Day                 Day
	Instances, Backends int
	// Traffic is how long callers send requests, PerSecond how many of them.
	Traffic   time.Duration
	PerSecond int
	// Log takes the log lines of the instances.
	Log io.Writer
	// Follow is the id of a request whose life is reported; empty for none.
	Follow string
}

// warmUp is the time between the start of the estate and the traffic, coolDown that after the
// traffic in which requests end.
const (
	warmUp   = 6 * time.Second
	coolDown = 4 * time.Second
)

// entryGap separates the steps of entries that would happen at the same moment, in any order.
const entryGap = 53 * time.Microsecond

// Play plays a day and returns its report. It must be called in a bubble of testing/synctest.
func (r Run) Play() Report {
	log := &logLines{to: r.Log, follow: r.Follow}
	return newReport(r.Day, r.observe(log), log)
}

// observe plays a day and returns what was seen.
func (r Run) observe(log *logLines) *Observations {
	e := newEstate(r.Day.Seed, r.Instances, r.Backends, log)
	time.Sleep(warmUp)
	began := time.Now()
	e.observed.Began = began
	for n, t := range r.Day.Entries() {
		e.work.Go(func() {
			time.Sleep(seconds(t.At) + time.Duration(n+1)*entryGap)
			kinds[t.Kind](e, t)
		})
	}
	e.call(r.Day.Seed, r.PerSecond, began.Add(r.Traffic))
	time.Sleep(coolDown)
	e.close()
	return e.observations()
}

// observations returns what was seen. No goroutine of the estate may be left.
func (e *Estate) observations() *Observations {
	o := &e.observed
	o.Requests, o.Crashes, o.NodeOf = e.requests, map[string][]time.Time{}, map[string]string{}
	for _, i := range e.instances {
		o.NodeOf[i.name] = i.node()
	}
	for _, b := range e.backends {
		o.Crashes[b.name] = b.Crashes()
		for _, p := range b.LimitPeriods() {
			o.Limits = append(o.Limits, Limit{Span: Span{From: p.From, To: p.To}, Backend: b.name, PerSecond: p.PerSecond})
		}
		for _, a := range b.Arrivals() {
			node, _, _ := strings.Cut(a.From, ":")
			o.Arrivals = append(o.Arrivals, Arrival{ID: a.ID, Body: a.Body, Backend: b.name, Zone: b.zone, Node: node, At: a.At, Ran: a.Ran})
		}
	}
	return o
}
