package testbed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/banyandeal/banyandeal/internal/estate"
	"github.com/banyandeal/banyandeal/internal/operator"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
)

func TestLeastHeadroom(t *testing.T) {
	e := &estate.Estate{
		Regions:  []estate.Region{{Name: "pos"}, {Name: "sfo"}},
		Zones:    []estate.Zone{{Name: "pos-a", Region: "pos"}},
		Links:    []estate.Link{{From: "pos", To: "sfo", MaxInFlight: 10}},
		Services: []estate.Service{{Name: "casework", Backends: []estate.Backend{{Name: "b1", Zone: "pos-a", Slots: 4}}}},
	}
	w := newWatcher(e, []Entry{{ID: "e1"}, {ID: "e2"}})
	link := operator.LinkStatus{From: "pos", To: "sfo", InFlight: 6}
	w.status = map[string]operator.Status{
		"e1": {Version: 2, InForceSince: time.Unix(5, 0), Links: []operator.LinkStatus{link}},
		"e2": {Version: 1, Links: []operator.LinkStatus{link}},
	}
	w.load = map[string]backend.Load{"b1": {Busy: 3}}
	w.observeLinks()
	w.observeRegions()
	_, ok := w.InForce(2)
	require.False(t, ok, "one instance has it, the other not")
	list, _ := w.Headrooms()
	require.Equal(t, []Headroom{{"region pos, slots", 4, 1, false}, {"link pos to sfo, in flight", 10, -2, true}}, list)
}
