package capacity

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFit(t *testing.T) {
	l := Fit([]Point{{1, 5}, {2, 7}, {4, 11}})
	require.InDelta(t, 3, l.Base, 1e-9)
	require.InDelta(t, 2, l.Slope, 1e-9)
	require.InDelta(t, 1, l.R2, 1e-9)
	require.InDelta(t, 23, l.At(10), 1e-9)
	require.InDelta(t, 0.75, Fit([]Point{{0, 0}, {1, 1}, {2, 1}}).R2, 1e-9)
	require.Equal(t, Line{Base: 3, R2: 1}, Fit([]Point{{1, 3}, {1, 3}}), "one size has no slope")
}

func TestAtTargetTellsMeasuredFromComputed(t *testing.T) {
	s := Series{Points: []Point{{1, 5}, {2, 7}, {4, 12}}, Target: 4}
	v, measured := s.AtTarget()
	require.True(t, measured)
	require.Equal(t, 12.0, v)
	s.Target = 8
	_, measured = s.AtTarget()
	require.False(t, measured)
}

// TestRefreshFindsItsWayBack holds that every way to refresh state gets two
// sets equal again, at a size that tells them apart.
func TestRefreshFindsItsWayBack(t *testing.T) {
	for _, p := range RefreshPolicies {
		c := refreshCost(p, manyStates(1000))
		require.NotZero(t, c.Lost.Exchanges, p.Name)
		require.NotZero(t, c.Restart.Exchanges, p.Name)
	}
}

// TestMeasuredAtRest holds that the machines whose ticks are measured have
// nothing to write, so that no tick is one of a change.
func TestMeasuredAtRest(t *testing.T) {
	for _, after := range []time.Duration{0, time.Minute} {
		owners, links := newOwnership(100), newLinks(100)
		owners.Tick(start.Add(after))
		links.Tick(start.Add(after))
		require.Nil(t, owners.Ready().Write)
		require.Nil(t, links.Ready().Write)
	}
}

// flatResults returns results of which every series costs one unit a piece.
func flatResults() Results {
	res := Results{}
	for _, n := range Names {
		res[n] = Series{Name: n, Unit: Bytes, Points: []Point{{1, 1}, {2, 2}, {3, 3}}, Target: 3}
	}
	return res
}

// TestPage holds that docs/CAPACITY.md has a row for each role, budget and
// series that the command prints, and names only mechanisms that exist.
func TestPage(t *testing.T) {
	data, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	page := string(data)
	res := flatResults()
	for _, name := range Names {
		require.Contains(t, page, "| "+name+" | ")
	}
	for _, r := range Roles(res) {
		require.Contains(t, page, "| "+r.Name+" | ")
	}
	for _, c := range append(Checks(res), Changes(res)...) {
		require.Contains(t, page, "| "+c.Name+" | ")
	}
	for _, p := range RefreshPolicies {
		require.Contains(t, page, "| "+p.Name+" | ")
	}
	for _, dir := range regexp.MustCompile(`(?:internal|cmd)/[a-z/]+[a-z]`).FindAllString(page, -1) {
		require.DirExists(t, "../../"+dir)
	}
	makefile, err := os.ReadFile("../../Makefile")
	require.NoError(t, err)
	require.Contains(t, page, "make capacity")
	require.Contains(t, string(makefile), "\ncapacity:\n")
}

// TestReportPrintsEverySeries holds that no measured series is left out.
func TestReportPrintsEverySeries(t *testing.T) {
	var out strings.Builder
	Report(&out, flatResults(), nil)
	for _, name := range Names {
		require.Contains(t, out.String(), "| "+name+" | ")
	}
}
