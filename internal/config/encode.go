package config

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net/netip"
	"strings"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/estate"
)

// Encode returns the resolved estate as JSON, the same bytes for equal estates.
func Encode(e *estate.Estate) ([]byte, error) {
	data, err := json.Marshal(e)
	return data, errors.Annotate(err, "encode the estate")
}

// Decode reads what Encode wrote. It refuses unknown fields and an estate that
// Load could not have returned, with an *Error of KindCorrupt.
func Decode(data []byte) (*estate.Estate, error) {
	e := &estate.Estate{}
	if err := decodeJSON("estate", data, e); err != nil {
		return nil, err
	}
	if err := verify(e); err != nil {
		return nil, err
	}
	return e, nil
}

// decodeJSON decodes exactly one strict JSON value.
func decodeJSON(what string, data []byte, to any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return corrupt(what, "%v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return corrupt(what, "data follows the value")
	}
	return nil
}

// corrupt is the fault of a stored or received object.
func corrupt(what, format string, args ...any) error {
	e := &Error{Kind: KindCorrupt, Path: what, Remedy: "fetch it from another source, or apply the configuration again"}
	e.Message = errors.Errorf(format, args...).Error()
	return e
}

// verify checks the invariants of a resolved estate: strictly sorted names and
// blocks, references that lead somewhere, and positive quantities.
func verify(e *estate.Estate) error {
	if err := verifyCore(e); err != nil {
		return err
	}
	for i := range e.Services {
		if i > 0 && e.Services[i-1].Name >= e.Services[i].Name {
			return corrupt("services", "%q is out of order", e.Services[i].Name)
		}
		if err := verifyService(e, &e.Services[i]); err != nil {
			return err
		}
	}
	for i, b := range e.Blocks {
		if !b.Prefix.IsValid() || b.Prefix != b.Prefix.Masked() || b.Prefix.Addr().Is4In6() {
			return corrupt("blocks", "%s is no block", b.Prefix)
		}
		if i > 0 && e.Blocks[i-1].Prefix.Compare(b.Prefix) >= 0 {
			return corrupt("blocks", "%s is out of order", b.Prefix)
		}
		if _, ok := e.RegionOf(b.Region); !ok || !finite(b.Demand) {
			return corrupt("blocks", "%s has no region or no demand", b.Prefix)
		}
	}
	return nil
}

func verifyCore(e *estate.Estate) error {
	for i, r := range e.Regions {
		if i > 0 && e.Regions[i-1].Name >= r.Name {
			return corrupt("regions", "%q is out of order", r.Name)
		}
	}
	for i, z := range e.Zones {
		if i > 0 && e.Zones[i-1].Name >= z.Name {
			return corrupt("zones", "%q is out of order", z.Name)
		}
		if _, ok := e.RegionOf(z.Region); !ok {
			return corrupt("zones", "%q has no region", z.Name)
		}
	}
	for i, s := range e.Sites {
		if i > 0 && e.Sites[i-1].Name >= s.Name {
			return corrupt("sites", "%q is out of order", s.Name)
		}
		if _, ok := e.ZoneOf(s.Zone); !ok || !finite(s.Weight) {
			return corrupt("sites", "%q has no zone or no weight", s.Name)
		}
	}
	for i, l := range e.Links {
		if i > 0 && e.Links[i-1].Compare(l) >= 0 {
			return corrupt("links", "the link from %q to %q is out of order", l.From, l.To)
		}
		_, from := e.RegionOf(l.From)
		_, to := e.RegionOf(l.To)
		if !from || !to || l.MaxInFlight < 1 || !finite(l.MaxRate) {
			return corrupt("links", "the link from %q to %q lacks a region or a cap", l.From, l.To)
		}
	}
	return nil
}

func verifyService(e *estate.Estate, s *estate.Service) error {
	for i, o := range s.Operations {
		if i > 0 && s.Operations[i-1].Name >= o.Name {
			return corrupt("services", "operation %q of %q is out of order", o.Name, s.Name)
		}
	}
	for i, b := range s.Backends {
		if i > 0 && s.Backends[i-1].Name >= b.Name {
			return corrupt("services", "backend server %q is out of order", b.Name)
		}
		if err := verifyBackend(e, b); err != nil {
			return err
		}
	}
	for _, zone := range sortedKeys(s.Weights) {
		if _, ok := e.ZoneOf(zone); !ok {
			return corrupt("services", "the weight of zone %q has no zone", zone)
		}
	}
	if strings.ContainsAny(s.Name, "/ ") || s.Deadline <= 0 || s.MeanTime <= 0 || !finite(s.MaxUtilisation) {
		return corrupt("services", "%q lacks a time or its utilisation", s.Name)
	}
	return nil
}

func verifyBackend(e *estate.Estate, b estate.Backend) error {
	site, ok := e.SiteOf(b.Site)
	if !ok || site.Zone != b.Zone {
		return corrupt("services", "backend server %q has no site", b.Name)
	}
	if _, err := netip.ParseAddrPort(b.Address); err != nil || b.Slots < 1 || b.MaxConnections < 1 {
		return corrupt("services", "backend server %q lacks an address, slots or connections", b.Name)
	}
	return nil
}

func finite(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }
