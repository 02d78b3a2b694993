// Package demo runs a whole estate as separate processes on loopback, with
// load and faults, and checks what came of it.
package demo

import (
	"cmp"
	"slices"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/testbed"
)

// targets are what the script drains, stops and kills.
type targets struct {
	crowdRegion string
	drainZone   string
	stopEntry   testbed.Entry
	killEntry   string
	killBackend string
}

// all returns the processes that the script ends.
func (t targets) all() []string { return []string{t.stopEntry.ID, t.killEntry, t.killBackend} }

// chooseTargets picks the zone with the fewest slots to drain, and two entry
// instances and a backend server of other zones to stop and to kill. Each of
// their zones keeps another one.
func chooseTargets(e *estate.Estate, entries []testbed.Entry) (targets, error) {
	slots := map[string]int{}
	for _, s := range e.Services {
		for _, b := range s.Backends {
			slots[b.Zone] += b.Slots
		}
	}
	zones := slices.Clone(e.Zones)
	slices.SortStableFunc(zones, func(a, b estate.Zone) int { return cmp.Compare(slots[a.Name], slots[b.Name]) })
	t := targets{drainZone: zones[0].Name, crowdRegion: zones[0].Region}
	for _, i := range entries {
		switch {
		case i.Zone == t.drainZone || !hasNeighbour(entries, i):
		case t.killEntry == "":
			t.killEntry = i.ID
		case t.stopEntry.ID == "" && !sameZone(entries, i, t.killEntry):
			t.stopEntry = i
		}
	}
	for _, s := range e.Services {
		for _, b := range s.Backends {
			if b.Zone == zones[len(zones)-1].Name {
				t.killBackend = b.Name
			}
		}
	}
	if t.killEntry == "" || t.stopEntry.ID == "" || t.killBackend == "" {
		return t, errors.NotValidf("estate %s: too small for the demo, it", e.Name)
	}
	return t, nil
}

func hasNeighbour(entries []testbed.Entry, i testbed.Entry) bool {
	return slices.ContainsFunc(entries, func(o testbed.Entry) bool { return o.Zone == i.Zone && o.ID != i.ID })
}

func sameZone(entries []testbed.Entry, i testbed.Entry, id string) bool {
	return slices.ContainsFunc(entries, func(o testbed.Entry) bool { return o.ID == id && o.Zone == i.Zone })
}
