package testbed

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/standin/delaynet"
)

// One-way delays between the parts of a delayed testbed.
const (
	zoneDelay   = 500 * time.Microsecond
	regionDelay = 35 * time.Millisecond
	callerDelay = 3 * time.Millisecond
)

// callerOctet stands in the place of the zone in the addresses of callers.
const callerOctet = 250

// A delayed testbed gives each entry instance an address
// 127.REGION.ZONE.NUMBER of its own and the callers near a region 127.REGION.250.1,
// so that relays can tell how far a connection comes.

// entryIP returns the address of the n-th entry instance of a zone; all are
// counted from 0.
func entryIP(region, zone, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", region+1, zone+1, n+1)
}

// callerIP returns the address of the callers near a region.
func callerIP(region int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(region + 1), callerOctet, 1})
}

// delayBetween returns the one-way delay between two addresses of the testbed,
// 0 if one of them belongs to none of its parts.
func delayBetween(a, b netip.Addr) time.Duration {
	x, y := a.Unmap().As4(), b.Unmap().As4()
	if x[1] == 0 || y[1] == 0 {
		return 0
	}
	var d time.Duration
	if x[2] == callerOctet || y[2] == callerOctet {
		d = callerDelay
	}
	switch {
	case x[1] != y[1]:
		d += regionDelay
	case d == 0 && x[2] != y[2]:
		d = zoneDelay
	}
	return d
}

// delayEntries gives every entry instance an address of its own, with a relay
// before the listeners of callers and peers.
func (b *Bed) delayEntries() error {
	count := map[string]int{}
	for i := range b.Entries {
		e := &b.Entries[i]
		region, zone := b.placeOf(e.Zone)
		ip := entryIP(region, zone, count[e.Zone])
		count[e.Zone]++
		a, err := freeAddresses(ip, perEntry+2)
		if err != nil {
			return errors.Trace(err)
		}
		e.Listen = static.Addresses{Caller: a[0], Peer: a[1], Operator: a[2]}
		e.Advertise = e.Listen
		e.Advertise.Caller, e.Advertise.Peer = a[3], a[4]
		for _, pair := range [][2]string{{a[3], e.Listen.Caller}, {a[4], e.Listen.Peer}} {
			to := netip.MustParseAddr(ip)
			r := delaynet.New(pair[0], pair[1], func(from netip.Addr) time.Duration { return delayBetween(from, to) })
			if err := r.Open(); err != nil {
				return errors.Trace(err)
			}
			b.relays[e.ID] = append(b.relays[e.ID], r)
		}
	}
	return nil
}

// placeOf returns the places of a zone and its region in the estate.
func (b *Bed) placeOf(zone string) (region, index int) {
	for i, z := range b.Estate.Zones {
		if z.Name == zone {
			return b.regionIndex(z.Region), i
		}
	}
	return 0, 0
}

func (b *Bed) regionIndex(name string) int {
	for i, r := range b.Estate.Regions {
		if r.Name == name {
			return i
		}
	}
	return 0
}

func (b *Bed) openRelays(id string) error {
	for _, r := range b.relays[id] {
		if err := r.Open(); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (b *Bed) refuseRelays(id string) {
	for _, r := range b.relays[id] {
		r.Refuse()
	}
}

func (b *Bed) entry(id string) (Entry, bool) {
	i := slices.IndexFunc(b.Entries, func(e Entry) bool { return e.ID == id })
	if i < 0 {
		return Entry{}, false
	}
	return b.Entries[i], true
}
