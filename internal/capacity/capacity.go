// Package capacity measures how the cost of an instance's parts grows and
// extrapolates it to the size that the system is built towards. It drives the
// machines and codecs that the daemon uses, in one process.
//
// A Series is one cost over one variable: at least three sizes, a straight line
// fitted to them and the value at Letter's size. Processor time is that of the
// whole process, garbage collection included, so other load on the machine
// counts little. The page docs/CAPACITY.md holds what Report prints.
package capacity

import (
	"math"
	"time"
)

// Size is the size of an estate and of what happens to it.
type Size struct {
	Nodes, Zones, Regions, Sites, Blocks int
	// LookupRate is look-ups per second over all nodes.
	LookupRate float64
	// Changes, Restarts and Failures are per day.
	Changes, Restarts, Failures float64
	// SiteBackends is how many backend servers a site has, and Services how
	// many services there are. The size in the letter does not name them.
	SiteBackends, Services int
}

// Letter is the size that the system is built towards.
var Letter = Size{
	Nodes: 6300, Zones: 26, Regions: 8, Sites: 1200, Blocks: 670_000, LookupRate: 2.5e6,
	Changes: 12_000, Restarts: 740, Failures: 16, SiteBackends: 12, Services: 2,
}

// ZoneNodes returns the nodes of one zone.
func (s Size) ZoneNodes() int { return s.Nodes / s.Zones }

// RegionNodes returns the nodes of one region.
func (s Size) RegionNodes() int { return s.Nodes / s.Regions }

// ZoneBackends returns the backend servers of one zone.
func (s Size) ZoneBackends() int {
	return int(math.Ceil(float64(s.Sites*s.SiteBackends) / float64(s.Zones)))
}

// Budget is what control may take of one node, and all nodes of the table.
type Budget struct {
	// Core is a share of one processor core, Memory is in bytes and Traffic in
	// bytes per second, both directions together.
	Core, Memory, Traffic float64
	// TableWrites and TableReads are per second, InForce is the time from the
	// table's acceptance of a change until it is in force everywhere.
	TableWrites, TableReads float64
	InForce                 time.Duration
}

// LetterBudget holds the bounds of the letter and of the brief.
var LetterBudget = Budget{Core: 0.024, Memory: 32 << 20, Traffic: 3000, TableWrites: 300, TableReads: 2000, InForce: 4 * time.Second}

// Point is one measurement.
type Point struct{ X, Y float64 }

// Line is Y = Base + Slope*X.
type Line struct {
	Base, Slope float64
	// R2 is the share of the variance that the line explains, 1 for a perfect
	// fit.
	R2 float64
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Base + l.Slope*x }

// Fit returns the line of least squares.
func Fit(points []Point) Line {
	n := float64(len(points))
	var mx, my float64
	for _, p := range points {
		mx += p.X / n
		my += p.Y / n
	}
	var sxx, sxy, syy float64
	for _, p := range points {
		sxx += (p.X - mx) * (p.X - mx)
		sxy += (p.X - mx) * (p.Y - my)
		syy += (p.Y - my) * (p.Y - my)
	}
	l := Line{Base: my, R2: 1}
	if sxx == 0 {
		return l
	}
	l.Slope = sxy / sxx
	l.Base = my - l.Slope*mx
	if syy > 0 {
		l.R2 = sxy * sxy / (sxx * syy)
	}
	return l
}

// Unit is the unit of a series' values.
type Unit string

// Units.
const (
	Bytes   Unit = "B"
	Seconds Unit = "s"
	Objects Unit = ""
)

// Series is one cost over one variable.
type Series struct {
	Name string
	// Variable is what X counts.
	Variable string
	Unit     Unit
	// Package is what was measured, as a path below the module.
	Package string
	Points  []Point
	// Target is X at Letter's size.
	Target float64
}

// AtTarget returns the value at Target: the last point when it lies there, else
// the line's.
func (s Series) AtTarget() (value float64, measured bool) {
	last := s.Points[len(s.Points)-1]
	if last.X == s.Target {
		return last.Y, true
	}
	return Fit(s.Points).At(s.Target), false
}

// Results holds measured series by name.
type Results map[string]Series

// At returns the value of a series at Letter's size.
func (r Results) At(name string) float64 {
	v, _ := r[name].AtTarget()
	return v
}

// Slope returns the cost of one more of a series' variable.
func (r Results) Slope(name string) float64 { return Fit(r[name].Points).Slope }
