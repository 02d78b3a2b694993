package config

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// Change is one difference between two estates.
type Change struct {
	// Path is the field, as in sites.pecs-b1.weight; an added or removed thing
	// is one change with the path of the thing.
	Path string
	// Old is empty for an added thing, New for a removed one.
	Old, New string
}

// String returns the change as a line: + added, - removed, ~ changed.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff returns what differs from a to b, by path. Versions are left out.
func Diff(a, b *estate.Estate) []Change {
	var d differ
	d.fields("estate", []field{{"name", a.Name}}, []field{{"name", b.Name}})
	d.fields("shift", shiftFields(a.Shift), shiftFields(b.Shift))
	diffNamed(&d, "regions.", a.Regions, b.Regions, func(r estate.Region) string { return r.Name }, regionFields)
	diffNamed(&d, "zones.", a.Zones, b.Zones, func(z estate.Zone) string { return z.Name }, zoneFields)
	diffNamed(&d, "sites.", a.Sites, b.Sites, func(s estate.Site) string { return s.Name }, siteFields)
	diffNamed(&d, "links.", a.Links, b.Links, func(l estate.Link) string { return l.From + "->" + l.To }, linkFields)
	d.services(a.Services, b.Services)
	d.blocks(a.Blocks, b.Blocks)
	slices.SortStableFunc(d.changes, func(x, y Change) int { return cmp.Compare(x.Path, y.Path) })
	return d.changes
}

// field is one named value of a thing.
type field struct{ name, value string }

type differ struct{ changes []Change }

func (d *differ) add(path, old, new string) {
	d.changes = append(d.changes, Change{Path: path, Old: old, New: new})
}

// fields compares two lists of the same fields.
func (d *differ) fields(path string, a, b []field) {
	for i := range a {
		if a[i].value != b[i].value {
			d.add(path+"."+a[i].name, a[i].value, b[i].value)
		}
	}
}

// diffNamed compares two lists of things by name.
func diffNamed[T any](d *differ, prefix string, as, bs []T, name func(T) string, fields func(T) []field) {
	old := make(map[string]T, len(as))
	for _, a := range as {
		old[name(a)] = a
	}
	for _, b := range bs {
		n := name(b)
		if a, ok := old[n]; ok {
			d.fields(prefix+n, fields(a), fields(b))
			delete(old, n)
			continue
		}
		d.add(prefix+n, "", summary(fields(b)))
	}
	for n, a := range old {
		d.add(prefix+n, summary(fields(a)), "")
	}
}

func summary(fields []field) string {
	parts := make([]string, 0, len(fields))
	for _, f := range fields {
		if f.value != "none" {
			parts = append(parts, f.name+"="+f.value)
		}
	}
	return "{" + strings.Join(parts, " ") + "}"
}

// blocks walks two lists that are sorted alike, since maps of all blocks would
// cost too much.
func (d *differ) blocks(as, bs []estate.Block) {
	for len(as) > 0 || len(bs) > 0 {
		switch order := compareHeads(as, bs); {
		case order < 0:
			d.add("blocks."+as[0].Prefix.String(), summary(blockFields(as[0])), "")
			as = as[1:]
		case order > 0:
			d.add("blocks."+bs[0].Prefix.String(), "", summary(blockFields(bs[0])))
			bs = bs[1:]
		default:
			if as[0] != bs[0] {
				d.fields("blocks."+as[0].Prefix.String(), blockFields(as[0]), blockFields(bs[0]))
			}
			as, bs = as[1:], bs[1:]
		}
	}
}

func compareHeads(as, bs []estate.Block) int {
	switch {
	case len(as) == 0:
		return 1
	case len(bs) == 0:
		return -1
	}
	return as[0].Prefix.Compare(bs[0].Prefix)
}

func (d *differ) services(as, bs []estate.Service) {
	name := func(s estate.Service) string { return s.Name }
	diffNamed(d, "services.", as, bs, name, serviceFields)
	old := make(map[string]*estate.Service, len(as))
	for i := range as {
		old[as[i].Name] = &as[i]
	}
	for i := range bs {
		b := &bs[i]
		a, ok := old[b.Name]
		if !ok {
			a = &estate.Service{} // what is in a new service is listed too
		}
		d.serviceParts(a, b)
		delete(old, b.Name)
	}
	for _, a := range old {
		d.serviceParts(a, &estate.Service{Name: a.Name})
	}
}

func (d *differ) serviceParts(a, b *estate.Service) {
	prefix := "services." + b.Name + "."
	diffNamed(d, prefix+"operations.", a.Operations, b.Operations, func(o estate.Operation) string { return o.Name }, operationFields)
	diffNamed(d, prefix+"backends.", a.Backends, b.Backends, func(b estate.Backend) string { return b.Name }, backendFields)
	for _, zone := range sortedKeys(a.Weights) {
		if w, ok := b.Weights[zone]; !ok {
			d.add(prefix+"weights."+zone, number(a.Weights[zone]), "")
		} else if w != a.Weights[zone] {
			d.add(prefix+"weights."+zone, number(a.Weights[zone]), number(w))
		}
	}
	for _, zone := range sortedKeys(b.Weights) {
		if _, ok := a.Weights[zone]; !ok {
			d.add(prefix+"weights."+zone, "", number(b.Weights[zone]))
		}
	}
}

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func perSecond(f float64) string { return number(f) + "/s" }

// stateName shows the zero value as what it means.
func stateName(s estate.State) string {
	if s == "" {
		return string(estate.Active)
	}
	return string(s)
}

func since(t time.Time) string {
	if t.IsZero() {
		return "none"
	}
	return t.UTC().Format(time.RFC3339Nano)
}

func shiftFields(s estate.ShiftPolicy) []field {
	return []field{
		{"max_share", perSecond(s.MaxShare)}, {"cold_share", perSecond(s.ColdShare)}, {"cold_time", s.ColdTime.String()},
	}
}

func regionFields(r estate.Region) []field { return []field{{"state", stateName(r.State)}} }

func zoneFields(z estate.Zone) []field {
	return []field{{"region", z.Region}, {"state", stateName(z.State)}}
}

func siteFields(s estate.Site) []field {
	return []field{{"zone", s.Zone}, {"state", stateName(s.State)}, {"weight", number(s.Weight)}, {"since", since(s.Since)}}
}

func linkFields(l estate.Link) []field {
	return []field{{"max_in_flight", strconv.Itoa(l.MaxInFlight)}, {"max_rate", perSecond(l.MaxRate)}}
}

func blockFields(b estate.Block) []field {
	return []field{{"region", b.Region}, {"demand", perSecond(b.Demand)}}
}

func operationFields(o estate.Operation) []field {
	return []field{{"method", o.Method}, {"path_prefix", o.PathPrefix}, {"idempotent", strconv.FormatBool(o.Idempotent)}}
}

func backendFields(b estate.Backend) []field {
	return []field{
		{"site", b.Site}, {"zone", b.Zone}, {"address", b.Address}, {"slots", strconv.Itoa(b.Slots)},
		{"connections", strconv.Itoa(b.MaxConnections)}, {"state", stateName(b.State)}, {"since", since(b.Since)},
	}
}

func serviceFields(s estate.Service) []field {
	return []field{
		{"lookup_ttl", s.LookupTTL.String()}, {"deadline", s.Deadline.String()}, {"mean_time", s.MeanTime.String()},
		{"max_utilisation", number(s.MaxUtilisation)}, {"key_ttl", s.KeyTTL.String()},
		{"max_body", strconv.FormatInt(s.MaxBody, 10) + "B"},
		{"retry.budget_share", number(s.Retry.BudgetShare)}, {"retry.max_attempts", strconv.Itoa(s.Retry.MaxAttempts)},
		{"hedge_after", s.HedgeAfter.String()},
	}
}
