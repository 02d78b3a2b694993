// Package report renders the scores of the users' bench, and lines over time, as an HTML page
// with plots.
package report

import (
	"bytes"
	"fmt"
	"html"
	"io"
	"maps"
	"slices"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // plots are written as SVG

	"github.com/banyandeal/banyandeal/platform/journal"
)

const (
	// plotWidth is the width of a plot.
	plotWidth = 20 * vg.Centimeter
	// plotHeight is the height of a plot.
	plotHeight = 9 * vg.Centimeter
	// maxCauses is the maximum number of causes of lost worth on a page.
	maxCauses = 8
)

// Write writes an HTML page about the scores to w. Errors: NotFound if there
// are no scores, and errors of the writer.
func Write(w io.Writer, scores []journal.Score) error {
	if len(scores) == 0 {
		return errors.NotFoundf("score in the journal (run the bench's score command first)")
	}
	sites := map[string][]journal.Score{}
	for _, s := range scores {
		sites[s.Site] = append(sites[s.Site], s)
	}
	var page bytes.Buffer
	page.WriteString("<!DOCTYPE html>\n<meta charset=\"utf-8\">\n<title>Scores</title>\n<h1>Scores</h1>\n")
	for _, site := range slices.Sorted(maps.Keys(sites)) {
		if err := writeSite(&page, site, sites[site]); err != nil {
			return errors.Annotatef(err, "plot the scores of site %s", site)
		}
	}
	_, err := page.WriteTo(w)
	return errors.Trace(err)
}

// writeSite appends the plots and the table of one site to the page.
func writeSite(page *bytes.Buffer, site string, scores []journal.Score) error {
	fmt.Fprintf(page, "<h2>%s</h2>\n", html.EscapeString(site))
	days, kinds := worthByDay(scores), servedByKind(scores)
	if err := Lines(page, Axes{Title: "Worth by day", X: "play", Y: "worth"}, days); err != nil {
		return err
	}
	if err := Lines(page, Axes{Title: "Credit earned by kind of request, mean of the days", X: "play", Y: "share of the credit"}, kinds); err != nil {
		return err
	}
	if err := drawCauses(page, scores[len(scores)-1]); err != nil {
		return err
	}
	page.WriteString("<table border=\"1\">\n<tr><th>play</th><th>at</th><th>commit</th><th>why</th><th>mean worth</th></tr>\n")
	for n, s := range scores {
		fmt.Fprintf(page, "<tr><td>%d</td><td>%s</td><td>%.8s</td><td>%s</td><td>%.3f</td></tr>\n",
			n+1, s.At.Format("2006-01-02 15:04"), s.Commit, html.EscapeString(s.Why), meanWorth(s))
	}
	page.WriteString("</table>\n")
	return nil
}

// meanWorth returns the mean worth of the standard days. Drawn days, which
// differ from score to score, do not count.
func meanWorth(s journal.Score) float64 {
	sum, n := 0.0, 0
	for _, d := range s.Days {
		if !d.Random {
			sum += d.Worth
			n++
		}
	}
	return sum / float64(max(1, n))
}

// worthByDay returns one line for each standard day, with one point for each
// score.
func worthByDay(scores []journal.Score) map[string]plotter.XYs {
	lines := map[string]plotter.XYs{}
	for n, s := range scores {
		for _, d := range s.Days {
			if !d.Random {
				lines[d.Name] = append(lines[d.Name], plotter.XY{X: float64(n + 1), Y: d.Worth})
			}
		}
	}
	return lines
}

// servedByKind returns one line for each kind of request, with one point for
// each score: the mean share of the credit over the standard days.
func servedByKind(scores []journal.Score) map[string]plotter.XYs {
	lines := map[string]plotter.XYs{}
	for n, s := range scores {
		sums, days := map[int]float64{}, 0
		for _, d := range s.Days {
			if d.Random {
				continue
			}
			days++
			for kind, share := range d.ServedByKind {
				sums[kind] += share
			}
		}
		for kind, sum := range sums {
			name := fmt.Sprint("kind ", kind+1)
			lines[name] = append(lines[name], plotter.XY{X: float64(n + 1), Y: sum / float64(days)})
		}
	}
	return lines
}

// Axes are the names of what a plot shows.
type Axes struct{ Title, X, Y string }

// Lines appends a line plot to the page.
func Lines(page *bytes.Buffer, a Axes, lines map[string]plotter.XYs) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = a.Title, a.X, a.Y
	p.Legend.Top, p.Legend.Left = true, true
	var args []any
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		args = append(args, name, lines[name])
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return errors.Trace(err)
	}
	return drawPlot(page, p)
}

// drawCauses appends a bar chart of the causes that cost the most worth in the
// score.
func drawCauses(page *bytes.Buffer, s journal.Score) error {
	sums := map[string]float64{}
	for _, d := range s.Days {
		sums["credit not earned"] += (1 - d.Served) / float64(len(s.Days))
		for cause, worth := range d.Penalties {
			sums[cause] += worth / float64(len(s.Days))
		}
	}
	causes := slices.SortedFunc(maps.Keys(sums), func(a, b string) int {
		if sums[a] == sums[b] {
			return slices.Compare([]byte(a), []byte(b))
		}
		if sums[a] > sums[b] {
			return -1
		}
		return 1
	})
	causes = causes[:min(maxCauses, len(causes))]
	var values plotter.Values
	for _, c := range causes {
		values = append(values, sums[c])
	}
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "What the last play lost, mean of the days", "worth"
	bars, err := plotter.NewBarChart(values, vg.Centimeter)
	if err != nil {
		return errors.Trace(err)
	}
	bars.Color = plotutil.Color(1)
	p.Add(bars)
	for i, c := range causes {
		fmt.Fprintf(page, "<div>%d: %s, %.4f</div>\n", i+1, html.EscapeString(c), sums[c])
		causes[i] = fmt.Sprint(i + 1)
	}
	p.NominalX(causes...)
	return drawPlot(page, p)
}

// drawPlot appends a plot to the page as an inline SVG image.
func drawPlot(page *bytes.Buffer, p *plot.Plot) error {
	image, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return errors.Trace(err)
	}
	var svg bytes.Buffer
	if _, err := image.WriteTo(&svg); err != nil {
		return errors.Trace(err)
	}
	// An XML declaration is not allowed inside an HTML page.
	_, body, _ := bytes.Cut(svg.Bytes(), []byte("<svg"))
	page.WriteString("<svg")
	page.Write(body)
	page.WriteString("\n")
	return nil
}
