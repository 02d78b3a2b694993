package cli

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/operator"
	"github.com/banyandeal/banyandeal/internal/operator/client"
)

// view is the estate as all instances together report it; it is what status
// prints as JSON. Lists are sorted by their first fields.
type view struct {
	Instances []instanceView `json:"instances"`
	Services  []serviceView  `json:"services"`
	Links     []linkView     `json:"links"`
	Backends  []backendView  `json:"backends"`
	Drains    []drainView    `json:"drains"`
}

// instanceView is one instance. What an instance that gives no answer is or
// does is unknown but for what others believe of it.
type instanceView struct {
	Zone       string    `json:"zone"`
	Instance   string    `json:"instance"`
	Operator   string    `json:"operator"`
	State      string    `json:"state"`
	Version    uint64    `json:"version"`
	Since      time.Time `json:"in_force_since,omitzero"`
	PlatformUp bool      `json:"platform_up"`
	Error      string    `json:"error,omitempty"`
}

// serviceView is one service in one zone. Instances may differ for a moment:
// WeightMin and WeightMax bound the weight over all of them. The other figures
// are those of an instance in the zone if one answers.
type serviceView struct {
	Service   string  `json:"service"`
	Zone      string  `json:"zone"`
	WeightMin float64 `json:"weight_min"`
	WeightMax float64 `json:"weight_max"`
	Target    float64 `json:"target"`
	Slots     int     `json:"slots"`
	Free      int     `json:"free"`
	// Source is the instance that Target, Slots and Free are from.
	Source string `json:"source"`
}

// linkView is one link, added up over the instances of its region that answer.
type linkView struct {
	From           string  `json:"from"`
	To             string  `json:"to"`
	MaxInFlight    int     `json:"max_in_flight"`
	MaxRate        float64 `json:"max_rate"`
	RightsInFlight int     `json:"rights_in_flight"`
	RightsRate     float64 `json:"rights_rate"`
	InFlight       int     `json:"in_flight"`
	// Headroom is MaxInFlight less InFlight.
	Headroom int `json:"headroom"`
}

// backendView is one backend server as its owner reports it.
type backendView struct {
	Service  string `json:"service"`
	Name     string `json:"name"`
	Site     string `json:"site"`
	Owner    string `json:"owner"`
	State    string `json:"state"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"in_flight"`
}

// drainView is one drain, added up over the instances that follow it.
type drainView struct {
	What     string    `json:"what"`
	Since    time.Time `json:"since"`
	InFlight int       `json:"in_flight"`
	// TookSeconds is that of the last instance to finish, 0 while one has not.
	TookSeconds float64 `json:"took_s"`
}

// Values of instanceView.State for instances that answer.
const (
	stateReady    = "ready"
	stateNotReady = "not-ready"
	stateLeaving  = "leaving"
	// stateSilent is that of an instance that gives no answer.
	stateSilent = "silent"
)

func newView(answers []client.Result) view {
	v := view{}
	var told []operator.Status
	for _, a := range answers {
		v.Instances = append(v.Instances, viewInstance(a))
		if a.Err == nil {
			told = append(told, a.Status)
		}
	}
	v.Services = viewServices(told)
	v.Links = viewLinks(told)
	v.Backends = viewBackends(told)
	v.Drains = viewDrains(told)
	for i, d := range v.Drains {
		if v.stillSteersTo(d.What) {
			v.Drains[i].TookSeconds = 0
		}
	}
	return v
}

// stillSteersTo reports whether an instance has not ended its ramp away from a zone that
// drains, which the drain names as "zone NAME". The zone's own instances may have.
func (v view) stillSteersTo(drain string) bool {
	zone, isZone := strings.CutPrefix(drain, "zone ")
	return isZone && slices.ContainsFunc(v.Services, func(s serviceView) bool {
		return s.Zone == zone && s.Target == 0 && s.WeightMax > 0
	})
}

func viewInstance(a client.Result) instanceView {
	i := instanceView{
		Zone: a.Zone(), Instance: a.ID(), Operator: a.Addr, State: stateNotReady,
		Version: a.Status.Version, Since: a.Status.InForceSince, PlatformUp: a.Status.PlatformUp,
	}
	switch {
	case a.Err != nil:
		i.State, i.Error = stateSilent, a.Err.Error()
	case a.Status.Leaving:
		i.State = stateLeaving
	case a.Status.Ready:
		i.State = stateReady
	}
	return i
}

func viewServices(told []operator.Status) []serviceView {
	type key struct{ service, zone string }
	found := map[key]*serviceView{}
	local := map[key]bool{}
	for _, s := range told {
		for _, service := range s.Services {
			for _, z := range service.Zones {
				k := key{service.Name, z.Zone}
				sv, ok := found[k]
				if !ok {
					sv = &serviceView{Service: k.service, Zone: k.zone, WeightMin: z.Weight, WeightMax: z.Weight}
					found[k] = sv
				}
				sv.WeightMin, sv.WeightMax = min(sv.WeightMin, z.Weight), max(sv.WeightMax, z.Weight)
				if here := s.Zone == z.Zone; !ok || here && !local[k] {
					sv.Target, sv.Slots, sv.Free, sv.Source = z.Target, z.Slots, z.Free, s.Instance
					local[k] = here
				}
			}
		}
	}
	return sortedValues(found, func(a, b serviceView) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Zone, b.Zone))
	})
}

func viewLinks(told []operator.Status) []linkView {
	type key struct{ from, to string }
	found := map[key]*linkView{}
	for _, s := range told {
		for _, l := range s.Links {
			k := key{l.From, l.To}
			lv := found[k]
			if lv == nil {
				lv = &linkView{From: l.From, To: l.To}
				found[k] = lv
			}
			// While a version spreads, caps differ: the lower one is shown.
			if lv.MaxInFlight == 0 || l.MaxInFlight < lv.MaxInFlight {
				lv.MaxInFlight = l.MaxInFlight
			}
			if lv.MaxRate == 0 || l.MaxRate < lv.MaxRate {
				lv.MaxRate = l.MaxRate
			}
			lv.RightsInFlight += l.RightsInFlight
			lv.RightsRate += l.RightsRate
			lv.InFlight += l.InFlight
			lv.Headroom = lv.MaxInFlight - lv.InFlight
		}
	}
	return sortedValues(found, func(a, b linkView) int {
		return cmp.Or(strings.Compare(a.From, b.From), strings.Compare(a.To, b.To))
	})
}

// viewBackends prefers what the owner says of a backend server: others leave
// its state empty.
func viewBackends(told []operator.Status) []backendView {
	found := map[string]*backendView{}
	for _, s := range told {
		for _, b := range s.Backends {
			if old := found[b.Name]; old != nil && (old.State != "" || b.State == "") {
				continue
			}
			found[b.Name] = &backendView{
				Service: b.Service, Name: b.Name, Site: b.Site, Owner: b.Owner,
				State: b.State, Slots: b.Slots, InFlight: b.InFlight,
			}
		}
	}
	return sortedValues(found, func(a, b backendView) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Name, b.Name))
	})
}

func viewDrains(told []operator.Status) []drainView {
	found := map[string]*drainView{}
	going := map[string]bool{}
	for _, s := range told {
		for _, d := range s.Drains {
			dv := found[d.What]
			if dv == nil {
				dv = &drainView{What: d.What, Since: d.Since}
				found[d.What] = dv
			}
			if d.Since.Before(dv.Since) {
				dv.Since = d.Since
			}
			dv.InFlight += d.InFlight
			dv.TookSeconds = max(dv.TookSeconds, d.DurationSeconds)
			going[d.What] = going[d.What] || d.DurationSeconds == 0
		}
	}
	for what := range going {
		if going[what] {
			found[what].TookSeconds = 0
		}
	}
	return sortedValues(found, func(a, b drainView) int { return strings.Compare(a.What, b.What) })
}

// sortedValues never returns nil, so that JSON has an empty list.
func sortedValues[K comparable, V any](m map[K]*V, compare func(a, b V) int) []V {
	out := make([]V, 0, len(m))
	for _, v := range m {
		out = append(out, *v)
	}
	slices.SortFunc(out, compare)
	return out
}
