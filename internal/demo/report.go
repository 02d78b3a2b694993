package demo

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/banyandeal/banyandeal/internal/bench"
	"github.com/banyandeal/banyandeal/internal/testbed"
)

// Measure is one measured time with its limit.
type Measure struct {
	Name string
	// Took is 0 when the limit passed first.
	Took, Limit time.Duration
}

// Report is what came of a demo.
type Report struct {
	Estate    string
	Processes int
	// Load holds the requests by op; nil when the demo ended before its load.
	Load       *bench.Result
	Violations []bench.Violation
	Measures   []Measure
	Headrooms  []testbed.Headroom
	Links      []testbed.LinkUse
	Samples    int
	// Broken lists promises that did not hold, apart from the violations.
	Broken []string
	Took   time.Duration
}

// Failed reports whether a promise was broken.
func (r *Report) Failed() bool { return len(r.Broken) > 0 || len(r.Violations) > 0 }

// maxListed bounds the violations that are printed.
const maxListed = 20

// Print writes the report as tables.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "estate %s, %d processes, %.1f s\n\n", r.Estate, r.Processes, r.Took.Seconds())
	if r.Load != nil {
		r.printLoad(w)
	}
	r.printMeasures(w)
	r.printHeadroom(w)
	r.printLinks(w)
	r.printBroken(w)
}

func (r *Report) printLoad(out io.Writer) {
	w := newTable(out)
	fmt.Fprintln(w, "SERVICE\tREQUEST\tDONE\tNOT RUN\tUNKNOWN\tUNANSWERED\tRESENT\tP50 ms\tP99 ms\tMAX ms")
	for _, o := range r.Load.Ops {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", o.Service, o.Op,
			o.Outcomes[bench.Done], o.Outcomes[bench.NotRun], o.Outcomes[bench.Unknown], o.Outcomes[bench.Unanswered], o.Retried,
			ms(o.Done.P50), ms(o.Done.P99), ms(o.Done.Max))
	}
	l := r.Load.LookupLatency
	fmt.Fprintf(w, "(look-ups)\t\t%d\t\t\t\t\t%s\t%s\t%s\n", l.Count, ms(l.P50), ms(l.P99), ms(l.Max))
	_ = w.Flush()
	count := map[bench.Fault]int{}
	for _, v := range r.Violations {
		count[v.Fault]++
	}
	fmt.Fprintf(out, "\nlost %d, doubled %d, crossed %d, told not run but ran %d, arrivals skipped by the load generator %d\n\n",
		count[bench.Lost], count[bench.Duplicated], count[bench.Mismatched], count[bench.RanDespiteNotRun], r.Load.Skipped)
}

func (r *Report) printMeasures(out io.Writer) {
	w := newTable(out)
	fmt.Fprintln(w, "TIME OF\tSECONDS\tLIMIT")
	for _, m := range r.Measures {
		took := fmt.Sprintf("%.2f", m.Took.Seconds())
		if m.Took == 0 {
			took = "not in time"
		}
		fmt.Fprintf(w, "%s\t%s\t%.0f\n", m.Name, took, m.Limit.Seconds())
	}
	_ = w.Flush()
	fmt.Fprintln(out)
}

func (r *Report) printHeadroom(out io.Writer) {
	w := newTable(out)
	fmt.Fprintf(w, "LEAST HEADROOM (%d samples)\tCAPACITY\tLEAST LEFT\n", r.Samples)
	for _, h := range r.Headrooms {
		fmt.Fprintf(w, "%s\t%d\t%d\n", h.Name, h.Capacity, h.Least)
	}
	_ = w.Flush()
	fmt.Fprintln(out)
}

func (r *Report) printLinks(out io.Writer) {
	w := newTable(out)
	fmt.Fprintln(w, "LINK BY RUN LOGS\tREQUESTS\tMOST IN FLIGHT\tCAP\tMOST STARTED IN 1 s\tCAP")
	for _, l := range r.Links {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.0f\n", l.Name, l.Requests, l.MostInFlight, l.MaxInFlight, l.MostStarted, l.MaxRate)
	}
	_ = w.Flush()
	fmt.Fprintln(out)
}

func (r *Report) printBroken(w io.Writer) {
	for _, b := range r.Broken {
		fmt.Fprintf(w, "BROKEN: %s\n", b)
	}
	for i, v := range r.Violations {
		if i == maxListed {
			fmt.Fprintf(w, "... and %d more\n", len(r.Violations)-maxListed)
			break
		}
		fmt.Fprintf(w, "BROKEN: %s\n", v)
	}
	if !r.Failed() {
		fmt.Fprintln(w, "every promise that the demo checks was kept")
	}
}

func newTable(w io.Writer) *tabwriter.Writer {
	const padding = 2
	return tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
}

func ms(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}
