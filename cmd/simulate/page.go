package main

import (
	"bytes"
	"fmt"
	"html"
	"os"

	"github.com/juju/errors"
	"gonum.org/v1/plot/plotter"

	"github.com/banyandeal/banyandeal/internal/report"
	"github.com/banyandeal/banyandeal/internal/simulation"
)

// maxPlotted bounds the days on a page. Those that broke a rule come first.
const maxPlotted = 20

// writePage writes a page with plots of the days over time.
func writePage(file string, reports []simulation.Report) error {
	var page bytes.Buffer
	page.WriteString("<!DOCTYPE html>\n<meta charset=\"utf-8\">\n<title>Simulated days</title>\n<h1>Simulated days</h1>\n")
	fmt.Fprintf(&page, "<p>%s</p>\n", html.EscapeString(simulation.Total(reports)))
	for n, r := range simulation.BrokenFirst(reports) {
		if n == maxPlotted {
			fmt.Fprintf(&page, "<p>%d more days are in the JSON report only.</p>\n", len(reports)-maxPlotted)
			break
		}
		fmt.Fprintf(&page, "<pre>%s%s</pre>\n", html.EscapeString(r.Day), html.EscapeString(r.Summary()))
		if err := plots(&page, r.Seconds); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(os.WriteFile(file, page.Bytes(), 0o644))
}

// plots appends the plots of one day.
func plots(page *bytes.Buffer, seconds []simulation.Second) error {
	shares, rates, ages := map[string]plotter.XYs{}, map[string]plotter.XYs{}, map[string]plotter.XYs{}
	add := func(lines map[string]plotter.XYs, name string, x, y float64) {
		lines[name] = append(lines[name], plotter.XY{X: x, Y: y})
	}
	for n, s := range seconds {
		x := float64(n)
		if s.Sent > 0 {
			add(shares, "served", x, float64(s.Served)/float64(s.Sent))
			add(shares, "refused", x, float64(s.Refused)/float64(s.Sent))
			add(shares, "failed", x, float64(s.Failed)/float64(s.Sent))
		}
		add(rates, "requests of callers", x, float64(s.Sent))
		add(rates, "arrivals at backend servers", x, float64(s.Arrivals))
		add(ages, "operator's table", x, s.TableAge.Seconds())
	}
	for _, p := range []struct {
		axes  report.Axes
		lines map[string]plotter.XYs
	}{
		{report.Axes{Title: "What became of requests", X: "s", Y: "share"}, shares},
		{report.Axes{Title: "Load", X: "s", Y: "a second"}, rates},
		{report.Axes{Title: "Oldest table by which a request was sent", X: "s", Y: "age in s"}, ages},
	} {
		if err := report.Lines(page, p.axes, p.lines); err != nil {
			return err
		}
	}
	return nil
}
