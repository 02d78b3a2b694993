package capacity

import (
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"
)

// Run measures everything and writes the report; progress goes to log.
func Run(out, log io.Writer) error {
	began := time.Now()
	res, err := Measure(func(name string) { fmt.Fprintf(log, "%6.1f s  %s\n", time.Since(began).Seconds(), name) })
	if err != nil {
		return errors.Trace(err)
	}
	states := MeasureRefresh()
	fmt.Fprintf(log, "%6.1f s  state refresh\n", time.Since(began).Seconds())
	Report(out, res, states)
	return nil
}

// Report writes the tables of docs/CAPACITY.md.
func Report(w io.Writer, res Results, states []RefreshCost) {
	writeRoles(w, Roles(res))
	writeChecks(w, "Budgets", Checks(res))
	writeChecks(w, "What changes would bring", Changes(res))
	writeSeries(w, res)
	writeRefresh(w, states)
}

func writeRoles(w io.Writer, roles []Role) {
	fmt.Fprint(w, "### Roles\n\n| role | state | messages | traffic | processor, of one core | memory | carried by |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, r := range roles {
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s |\n", r.Name, r.State, r.Messages, r.Traffic, r.Core, r.Memory, r.Mechanism)
	}
	fmt.Fprintln(w)
}

func writeChecks(w io.Writer, title string, checks []Check) {
	fmt.Fprint(w, "### ", title, "\n\n| budget | bound | need | margin or shortfall | arithmetic |\n| --- | --- | --- | --- | --- |\n")
	for _, c := range checks {
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s |\n", c.Name, c.Bound, c.Need, c.Verdict, c.Arithmetic)
	}
	fmt.Fprintln(w)
}

func writeSeries(w io.Writer, res Results) {
	fmt.Fprintln(w, "### Slopes")
	fmt.Fprintln(w)
	fmt.Fprintln(w, "| cost | over | at three sizes | for one more | fit (R²) | at the letter's size |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- |")
	for _, name := range Names {
		s, ok := res[name]
		if !ok {
			continue
		}
		line := Fit(s.Points)
		at, measured := s.AtTarget()
		how := "computed"
		if measured {
			how = "measured"
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s | %.3f | %s at %s, %s |\n",
			s.Name, s.Variable, points(s), quantity(line.Slope, s.Unit), line.R2, quantity(at, s.Unit), count(s.Target), how)
	}
	fmt.Fprintln(w)
}

func points(s Series) string {
	out := ""
	for i, p := range s.Points {
		if i > 0 {
			out += "; "
		}
		out += count(p.X) + ": " + quantity(p.Y, s.Unit)
	}
	return out
}

func count(x float64) string { return fmt.Sprintf("%.0f", x) }

// quantity formats a value with a prefix of its unit.
func quantity(v float64, u Unit) string {
	abs := max(v, -v)
	if u == Objects {
		return fmt.Sprintf("%.4g", v)
	}
	if u == Bytes {
		switch {
		case abs >= 1<<20:
			return fmt.Sprintf("%.3g MB", v/(1<<20))
		case abs >= 1<<10:
			return fmt.Sprintf("%.3g KB", v/(1<<10))
		}
		return fmt.Sprintf("%.3g B", v)
	}
	switch {
	case abs >= 1:
		return fmt.Sprintf("%.3g s", v)
	case abs >= 1e-3:
		return fmt.Sprintf("%.3g ms", v*1e3)
	case abs >= 1e-6:
		return fmt.Sprintf("%.3g µs", v*1e6)
	}
	return fmt.Sprintf("%.3g ns", v*1e9)
}

func writeRefresh(w io.Writer, states []RefreshCost) {
	fmt.Fprintln(w, "### State refresh")
	fmt.Fprintln(w)
	fmt.Fprintln(w, "| way | records | exchange at rest | its processor time | after 10 changes | one record lost | neighbour begun anew |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- |")
	for _, c := range states {
		fmt.Fprintf(w, "| %s | %d | %s | %s | %s | %s | %s |\n", c.Policy, c.Records,
			quantity(c.IdleBytes, Bytes), quantity(c.IdleTime, Seconds), quantity(c.ChangedBytes, Bytes), way(c.Lost), way(c.Restart))
	}
	fmt.Fprintln(w)
}

func way(r Resync) string {
	return fmt.Sprintf("%s, %s, %d exchanges", quantity(r.Bytes, Bytes), quantity(r.Time, Seconds), r.Exchanges)
}
