package experiment

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/banyandeal/banyandeal/internal/bench"
	"github.com/banyandeal/banyandeal/internal/testbed"
)

// row is one measure with both policies.
type row struct {
	// name is printed in the first column.
	name string
	// format is the fmt verb for both values.
	format string
	// baseline is the value with the baseline policy. steered is the value with
	// the daemon's policy.
	baseline, steered float64
	// ratio reports whether the ratio of steered to baseline is printed.
	ratio bool
}

// Print writes the comparison to out as a table. The ratio is steered divided
// by baseline: lower is better for latencies and drain times, higher is better
// for headroom.
func (c *Comparison) Print(out io.Writer) {
	fmt.Fprintf(out, "%s, %s: %s\n\n", c.Deployment, c.Scenario.Name, c.Scenario.Summary)
	const padding = 2
	w := tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)
	fmt.Fprintln(w, "MEASURE\tBASELINE\tSTEERED\tRATIO")
	for _, r := range c.rows() {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", r.name, fmt.Sprintf(r.format, r.baseline), fmt.Sprintf(r.format, r.steered), r.ratioText())
	}
	_ = w.Flush()
	for _, r := range []*Result{c.Baseline, c.Steered} {
		if r.DrainUnfinished {
			fmt.Fprintf(out, "%s: the drain was not finished in time\n", r.Policy)
		}
		if r.Skipped > 0 {
			fmt.Fprintf(out, "%s: %d arrivals skipped by the load generator\n", r.Policy, r.Skipped)
		}
	}
	fmt.Fprintln(out)
}

// ratioText returns the formatted ratio, or "" if it is not wanted or the
// baseline is not positive.
func (r row) ratioText() string {
	if !r.ratio || r.baseline <= 0 {
		return ""
	}
	return fmt.Sprintf("%.2f", r.steered/r.baseline)
}

func (c *Comparison) rows() []row {
	var out []row
	for _, s := range c.Baseline.Services {
		out = append(out, c.serviceRows(s.Service)...)
	}
	out = append(out, c.headroomRows()...)
	out = append(out, c.linkRows()...)
	if c.Baseline.DrainTime > 0 || c.Steered.DrainTime > 0 {
		out = append(out, row{"drain to the last start of work, s", "%.1f", c.Baseline.DrainTime.Seconds(), c.Steered.DrainTime.Seconds(), true})
	}
	for _, f := range []bench.Fault{bench.Lost, bench.Duplicated, bench.Mismatched, bench.RanDespiteNotRun} {
		out = append(out, row{string(f), "%.0f", float64(c.Baseline.Violations[f]), float64(c.Steered.Violations[f]), false})
	}
	return out
}

func (c *Comparison) serviceRows(service string) []row {
	b, s := findService(c.Baseline.Services, service), findService(c.Steered.Services, service)
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	out := []row{
		{service + " p50, ms", "%.1f", ms(b.Done.P50), ms(s.Done.P50), true},
		{service + " p99, ms", "%.1f", ms(b.Done.P99), ms(s.Done.P99), true},
	}
	for _, e := range []bench.End{bench.Done, bench.NotRun, bench.Unknown, bench.Unanswered} {
		out = append(out, row{service + " " + string(e), "%.0f", float64(b.Outcomes[e]), float64(s.Outcomes[e]), false})
	}
	return out
}

// findService returns the result of a service, or the zero value if the list
// has none.
func findService(list []bench.OpResult, service string) bench.OpResult {
	i := slices.IndexFunc(list, func(o bench.OpResult) bool { return o.Service == service })
	if i < 0 {
		return bench.OpResult{}
	}
	return list[i]
}

// headroomRows returns the least headroom of each region and link as a share of
// its capacity. It omits links that neither run used.
func (c *Comparison) headroomRows() []row {
	var out []row
	for i, b := range c.Baseline.Headrooms {
		s := c.Steered.Headrooms[i]
		if b.Link && b.Least == b.Capacity && s.Least == s.Capacity {
			continue
		}
		out = append(out, row{"least left, " + b.Name, "%.2f", leastShare(b), leastShare(s), true})
	}
	return out
}

// leastShare returns the least headroom as a share of the capacity.
func leastShare(h testbed.Headroom) float64 { return float64(h.Least) / float64(max(h.Capacity, 1)) }

// linkRows returns, for each link with a rate limit, the least unused share of
// the rate according to the run logs. It omits links that neither run used.
func (c *Comparison) linkRows() []row {
	var out []row
	for i, b := range c.Baseline.Links {
		s := c.Steered.Links[i]
		if b.Requests == 0 && s.Requests == 0 || b.MaxRate <= 0 {
			continue
		}
		left := func(l testbed.LinkUse) float64 { return 1 - float64(l.MostStarted)/l.MaxRate }
		out = append(out, row{"least left, link " + b.Name + ", rate by run logs", "%.2f", left(b), left(s), true})
	}
	return out
}
