package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/juju/errors"
)

// Day is the trouble of one run, in the format of the days in deploy/days.
type Day struct {
	Name string `toml:"name"`
	// Seed draws what the entries leave open.
	Seed uint64 `toml:"seed"`
	// Slot is ignored.
	Slot string `toml:"slot"`
	// Plan holds planned work, Faults the rest.
	Plan   []Entry `toml:"plan"`
	Faults []Entry `toml:"faults"`
}

// Entry is one trouble. Times are in seconds from the beginning of the traffic.
type Entry struct {
	At    float64 `toml:"at"`
	Kind  string  `toml:"kind"`
	How   string  `toml:"how"`
	Zone  string  `toml:"zone"`
	Count int     `toml:"count"`
	Share float64 `toml:"share"`
	// ForS is how long the trouble lasts, GapS the time between steps, X depends on the kind.
	ForS float64 `toml:"for_s"`
	GapS float64 `toml:"gap_s"`
	X    float64 `toml:"x"`
}

// defaultLength is how long a trouble lasts that does not say so.
const defaultLength = 5.0

// length returns how long the trouble lasts.
func (t Entry) length() time.Duration {
	if t.ForS == 0 {
		t.ForS = defaultLength
	}
	return seconds(t.ForS)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// InvalidDayError is returned for a day that cannot be played.
type InvalidDayError struct {
	// Place is the entry, such as "faults[2]", or the line.
	Place, Problem string
}

// Error implements error.
func (e *InvalidDayError) Error() string { return fmt.Sprintf("%s: %s", e.Place, e.Problem) }

// ParseDay reads a day. Errors are of type *InvalidDayError.
func ParseDay(text string) (Day, error) {
	var d Day
	meta, err := toml.Decode(text, &d)
	var syntax toml.ParseError
	switch {
	case errors.As(err, &syntax):
		return Day{}, &InvalidDayError{Place: fmt.Sprint("line ", syntax.Position.Line), Problem: syntax.Message}
	case err != nil:
		return Day{}, &InvalidDayError{Place: "the day", Problem: err.Error()}
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return Day{}, &InvalidDayError{Place: unknown[0].String(), Problem: "no such setting; remove it"}
	}
	return d, d.check()
}

// check returns an *InvalidDayError for the first entry that cannot be played.
func (d Day) check() error {
	for name, entries := range map[string][]Entry{"plan": d.Plan, "faults": d.Faults} {
		for n, entry := range entries {
			place := fmt.Sprintf("%s[%d]", name, n)
			if kinds[entry.Kind] == nil {
				return &InvalidDayError{Place: place, Problem: fmt.Sprintf("unknown kind %q; known are %s", entry.Kind, strings.Join(kindNames(), ", "))}
			}
			for word := range strings.FieldsSeq(entry.How) {
				if !slices.Contains(strings.Fields(hows[entry.Kind]), word) {
					return &InvalidDayError{Place: place, Problem: fmt.Sprintf("unknown how %q of %s; known are: %s", word, entry.Kind, hows[entry.Kind])}
				}
			}
			if entry.At < 0 || entry.ForS < 0 || entry.GapS < 0 || entry.Share < 0 || entry.Share > 1 || entry.Count < 0 {
				return &InvalidDayError{Place: place, Problem: "at, for_s, gap_s and count are 0 or more, share is 0 to 1"}
			}
		}
	}
	return nil
}

// kindNames returns the kinds of troubles in order.
func kindNames() []string {
	var names []string
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Entries returns plan and faults in the order of their times.
func (d Day) Entries() []Entry {
	all := slices.Concat(d.Plan, d.Faults)
	slices.SortStableFunc(all, func(a, b Entry) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	return all
}

// String returns the day in its format.
func (d Day) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nslot = \"trouble\"\nseed = %d\n", d.Name, d.Seed)
	for _, list := range []struct {
		name    string
		entries []Entry
	}{{"plan", d.Plan}, {"faults", d.Faults}} {
		fmt.Fprintf(&b, "%s = [\n", list.name)
		for _, entry := range list.entries {
			fmt.Fprintf(&b, "  { at = %.3f, kind = %q%s },\n", entry.At, entry.Kind, entry.options())
		}
		b.WriteString("]\n")
	}
	return b.String()
}

// options returns the settings of an entry that are not empty.
func (t Entry) options() string {
	text := ""
	for _, o := range []struct{ name, value string }{{"how", t.How}, {"zone", t.Zone}} {
		if o.value != "" {
			text += fmt.Sprintf(", %s = %q", o.name, o.value)
		}
	}
	if t.Count > 0 {
		text += fmt.Sprintf(", count = %d", t.Count)
	}
	for _, o := range []struct {
		name  string
		value float64
	}{{"share", t.Share}, {"for_s", t.ForS}, {"gap_s", t.GapS}, {"x", t.X}} {
		if o.value != 0 {
			text += fmt.Sprintf(", %s = %.3f", o.name, o.value)
		}
	}
	return text
}

// drawnTraffic is how long callers send requests on a drawn day.
const drawnTraffic = 20 * time.Second

// drawnEntries is the largest number of entries of a drawn day.
const drawnEntries = 8

// Draw draws a day from a seed, with troubles from 1 s until the traffic is over.
func Draw(seed uint64, traffic time.Duration) Day {
	rng := rand.New(rand.NewPCG(seed, 3))
	d := Day{Name: fmt.Sprint("drawn-", seed), Seed: seed}
	last := (traffic - 4*time.Second).Seconds()
	for range 2 + rng.IntN(drawnEntries-1) {
		drawn := draws[rng.IntN(len(draws))](rng)
		drawn.At = 1 + rng.Float64()*(last-1)
		if planned[drawn.Kind] {
			d.Plan = append(d.Plan, drawn)
		} else {
			d.Faults = append(d.Faults, drawn)
		}
	}
	return d
}

// draws are the kinds of entries that Draw chooses from.
var draws = []func(rng *rand.Rand) Entry{
	func(rng *rand.Rand) Entry {
		return Entry{Kind: "node_kill", How: pick(rng, "", "power", "power reader"), Count: 1 + rng.IntN(2), ForS: length(rng, 1, 6)}
	},
	func(rng *rand.Rand) Entry {
		return Entry{Kind: "node_cut", How: pick(rng, "all", "all reader"), Count: 1, ForS: length(rng, 1, 6)}
	},
	func(rng *rand.Rand) Entry {
		return Entry{Kind: "node_cut", How: pick(rng, "servers", "servers reset", "servers refuse"), Share: pick(rng, 0.1, 0.3, 0.5), ForS: length(rng, 5, 9)}
	},
	func(rng *rand.Rand) Entry {
		return Entry{Kind: "roll_term", Share: pick(rng, 0.3, 1), GapS: length(rng, 0.3, 2)}
	},
	func(rng *rand.Rand) Entry {
		return Entry{Kind: "srv_crash", Share: pick(rng, 0.15, 0.5, 0.8), ForS: down.Seconds()}
	},
	func(rng *rand.Rand) Entry {
		return Entry{Kind: "release", Share: pick(rng, 0.3, 1), GapS: length(rng, 0.2, 1)}
	},
	func(*rand.Rand) Entry { return Entry{Kind: "config_change", How: "route"} },
	func(rng *rand.Rand) Entry {
		return Entry{Kind: "config_storm", GapS: length(rng, 0.2, 1), ForS: length(rng, 2, 8)}
	},
	func(rng *rand.Rand) Entry { return Entry{Kind: "big_config", Count: pick(rng, 300, 1400)} },
	func(rng *rand.Rand) Entry {
		return Entry{Kind: "limit", Share: pick(rng, 0.15, 0.5), X: pick(rng, 1.0, 2, 4), ForS: length(rng, 6, 14)}
	},
	func(rng *rand.Rand) Entry {
		return Entry{Kind: "evacuate", Zone: pick(rng, zones...), ForS: length(rng, 6, 12), How: "warm"}
	},
	func(rng *rand.Rand) Entry {
		return Entry{Kind: "platform_down", How: pick(rng, "silent", "busy"), ForS: length(rng, 1, 6)}
	},
	func(rng *rand.Rand) Entry {
		return Entry{Kind: "platform_down", How: pick(rng, "nodes silent", "nodes busy", "nodes silent reader"), Share: pick(rng, 0.1, 0.35, 0.6), ForS: length(rng, 1, 6)}
	},
	func(rng *rand.Rand) Entry {
		return Entry{Kind: "platform_down", How: "older", X: length(rng, 1, 6), ForS: length(rng, 0.2, 2)}
	},
	func(rng *rand.Rand) Entry { return Entry{Kind: "platform_lost", ForS: length(rng, 1, 6)} },
	func(rng *rand.Rand) Entry {
		return Entry{Kind: "platform_compact", X: length(rng, 0.5, 4), ForS: length(rng, 1, 5)}
	},
	func(rng *rand.Rand) Entry {
		return Entry{Kind: "srv_grey", How: pick(rng, "500", "503", "429", "408", "421"), Share: pick(rng, 0.3, 1), ForS: length(rng, 3, 10)}
	},
	func(rng *rand.Rand) Entry { return Entry{Kind: "poison", How: "deadly", ForS: length(rng, 4, 10)} },
}

func pick[T any](rng *rand.Rand, from ...T) T { return from[rng.IntN(len(from))] }

// length draws a time in seconds.
func length(rng *rand.Rand, low, high float64) float64 { return low + rng.Float64()*(high-low) }
