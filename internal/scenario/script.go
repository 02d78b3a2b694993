package scenario

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/banyandeal/banyandeal/internal/config/publish"
	api "github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
	"github.com/banyandeal/banyandeal/internal/standin/platform"
)

// Script runs the commands of one scenario.
type Script struct{ w *world }

// New returns a script with an empty world. Instances log to logs.
func New(logs io.Writer) (*Script, error) {
	w, err := newWorld(logs)
	if err != nil {
		return nil, err
	}
	return &Script{w}, nil
}

// Close ends what the script has started.
func (s *Script) Close() error { return s.w.close() }

// Run runs one command and returns its golden output: a line for each result,
// "ok" if there is nothing to say, and an error in one line.
func (s *Script) Run(command string, fields []string, input string) string {
	out, err := s.run(command, fields, input)
	switch {
	case err != nil:
		return "error: " + err.Error() + "\n"
	case out == "":
		return "ok\n"
	}
	return out
}

func (s *Script) run(command string, fields []string, input string) (string, error) {
	w, a := s.w, parseArgs(fields)
	switch command {
	case "world":
		return "", w.build(input)
	case "start":
		return "", w.startAll(a)
	case "apply":
		return w.applyCommand(a)
	case "declare":
		return "", w.declare(a)
	case "key":
		key, err := w.newKey(a.text("home", ""), a.text("service", "loans"))
		w.keys[a.word(0)] = key
		return "", err
	case "lookup":
		return w.lookupCommand(a)
	case "send":
		return "", w.send(a.word(0), args{a.words[1:], a.values})
	case "flood":
		return "", w.flood(a)
	case "cancel":
		w.requests[a.word(0)].cancel()
		return "", nil
	case "outcome":
		return w.outcomes(a)
	case "total":
		return w.total(a), nil
	case "runs":
		return w.runsCommand(a)
	case "served":
		return fmt.Sprintf("%d\n", len(w.backends[a.word(0)].Runs())), nil
	case "exit":
		return w.exitCommand(a)
	case "peak":
		return w.peakCommand(a)
	case "wait", "expect", "never":
		return w.waitCommand(command, fields)
	}
	return w.fault(command, a)
}

// fault runs the commands that bring failures about.
func (w *world) fault(command string, a args) (string, error) {
	switch command {
	case "backend":
		return "", w.backendFault(a)
	case "platform":
		return "", w.platformFault(a)
	case "list":
		return "", w.list(a.word(0), a.word(1))
	case "cut":
		return "", w.eachPair(a, w.net.Cut)
	case "heal":
		return "", w.eachPair(a, w.net.Heal)
	case "silence":
		return "", w.eachPair(a, func(x, y string) { w.net.Silence(x, y) })
	case "pause", "resume", "kill", "stop":
		for _, id := range a.words {
			if err := w.instanceFault(command, id); err != nil {
				return "", err
			}
		}
		return "", nil
	}
	return "", errors.NotSupportedf("command %q", command)
}

func (w *world) instanceFault(command, id string) error {
	in, err := w.instance(id)
	if err != nil {
		return err
	}
	switch command {
	case "pause":
		w.net.Freeze(id)
	case "resume":
		w.net.Thaw(id)
	case "kill":
		return w.kill(id)
	case "stop":
		w.platform.PutInstance(api.Instance{ID: id, Kind: api.KindEntry, Zone: in.zone, State: api.InstanceLeaving, Peer: in.addr.Peer})
		in.stop()
	}
	return nil
}

// startAll starts instances; the zone of one that is not given is its name
// without the trailing digit.
func (w *world) startAll(a args) error {
	for _, id := range a.words {
		if err := w.start(id, a.text("zone", strings.TrimRight(id, "0123456789"))); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) applyCommand(a args) (string, error) {
	version, err := w.apply(publish.Options{
		ExpectVersion: uint64(a.number("expect", int(w.version))), Author: a.text("author", "ops"), ChangeID: a.text("id", ""),
	})
	var conflict *publish.ConflictError
	var unsettled *publish.UnsettledError
	var unavailable *publish.UnavailableError
	var stale *publish.StaleError
	switch {
	case errors.As(err, &conflict):
		return fmt.Sprintf("conflict with version %d by %s\n", conflict.Head.Version, conflict.Head.Author), nil
	case errors.As(err, &unsettled):
		return "unsettled\n", nil
	case errors.As(err, &unavailable):
		return "unavailable\n", nil
	case errors.As(err, &stale):
		return fmt.Sprintf("stale: read version %d\n", stale.Read), nil
	case err != nil:
		return "", err
	}
	return fmt.Sprintf("version %d\n", version), nil
}

func (w *world) lookupCommand(a args) (string, error) {
	answer, err := w.lookup(a.text("at", ""), a.text("service", "loans"), w.caller(a.text("from", ""), 0))
	if err != nil {
		return err.Error() + "\n", nil
	}
	var zones []string
	for _, in := range answer.Instances {
		if !slices.Contains(zones, in.Zone) {
			zones = append(zones, in.Zone)
		}
	}
	return fmt.Sprintf("version %d zones %s\n", answer.Version, strings.Join(zones, " ")), nil
}

// flood starts n requests named NAME-1 and on.
func (w *world) flood(a args) error {
	for n := 1; n <= a.number("n", 1); n++ {
		b := args{words: a.words[1:], values: map[string]string{}}
		for k, v := range a.values {
			b.values[k] = v
		}
		if at := strings.Split(a.text("at", ""), ","); len(at) > 1 {
			b.values["at"] = at[n%len(at)]
		}
		if err := w.send(fmt.Sprintf("%s-%d", a.word(0), n), b); err != nil {
			return err
		}
	}
	return nil
}

// flooded returns the requests of a flood.
func (w *world) flooded(name string) []*request {
	var out []*request
	for n := 1; ; n++ {
		f := w.requests[fmt.Sprintf("%s-%d", name, n)]
		if f == nil {
			return out
		}
		out = append(out, f)
	}
}

// total counts the ends of a flood's requests. With only=A,B it tells whether
// there were no other ends than these, written with / for spaces.
func (w *world) total(a args) string {
	counts := map[string]int{}
	for _, f := range w.flooded(a.word(0)) {
		<-f.ended
		end := f.end
		if strings.HasPrefix(end, "done by") {
			end = "done"
		}
		if a.text("kinds", "yes") == "no" {
			end, _, _ = strings.Cut(end, " ")
		}
		counts[end]++
	}
	if only := a.text("only", ""); only != "" {
		maps.DeleteFunc(counts, func(end string, _ int) bool {
			return slices.Contains(strings.Split(only, ","), strings.ReplaceAll(end, " ", "/"))
		})
		if len(counts) == 0 {
			return "ok\n"
		}
	}
	var lines []string
	for end, n := range counts {
		if a.text("counts", "yes") == "no" {
			lines = append(lines, end+"\n")
			continue
		}
		lines = append(lines, fmt.Sprintf("%d %s\n", n, end))
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

func (w *world) outcomes(a args) (string, error) {
	var b strings.Builder
	for _, name := range a.words {
		f := w.requests[name]
		if f == nil {
			return "", errors.NotFoundf("request %q", name)
		}
		<-f.ended
		end := f.end
		if a.text("names", "no") == "no" && strings.HasPrefix(end, "done by") {
			end = "done"
		}
		if a.text("kinds", "yes") == "no" {
			end, _, _ = strings.Cut(end, " ")
		}
		fmt.Fprintf(&b, "%s: %s\n", name, end)
	}
	return b.String(), nil
}

// runsCommand prints how often each request was begun; for a flood, the most
// of any of its requests.
func (w *world) runsCommand(a args) (string, error) {
	var b strings.Builder
	for _, name := range a.words {
		if f := w.requests[name]; f != nil {
			fmt.Fprintf(&b, "%s: %d\n", name, len(w.runsOf(f.token)))
			continue
		}
		most := 0
		for _, f := range w.flooded(name) {
			most = max(most, len(w.runsOf(f.token)))
		}
		fmt.Fprintf(&b, "%s: at most %d each\n", name, most)
	}
	return b.String(), nil
}

// exitCommand waits for the end of an instance and prints how it ended.
func (w *world) exitCommand(a args) (string, error) {
	in, err := w.instance(a.word(0))
	if err != nil {
		return "", err
	}
	select {
	case <-in.ended:
	case <-time.After(waitLimit):
		return "still running\n", nil
	}
	if in.err != nil {
		return "ended with an error\n", nil
	}
	return "stopped\n", nil
}

// peakCommand compares what backend servers had at once with their slots.
func (w *world) peakCommand(a args) (string, error) {
	var b strings.Builder
	for _, s := range w.estate.Services {
		for _, d := range s.Backends {
			if !slices.Contains(a.words, d.Name) && len(a.words) > 0 {
				continue
			}
			if most := peak(w.backends[d.Name].Runs()); most > d.Slots {
				fmt.Fprintf(&b, "%s: OVERLOADED, %d at once on %d slots\n", d.Name, most, d.Slots)
				continue
			}
			fmt.Fprintf(&b, "%s: within its slots\n", d.Name)
		}
	}
	return b.String(), nil
}

func (w *world) waitCommand(command string, fields []string) (string, error) {
	w.settledSince = time.Time{}
	cond, a, err := w.condition(fields)
	if err != nil {
		return "", err
	}
	switch command {
	case "wait":
		if !until(a.time("within", waitLimit), cond) {
			return "NOT WITHIN THE TIME\n", nil
		}
	case "expect":
		if !cond() {
			return "NO\n", nil
		}
	case "never":
		if until(a.time("for", time.Second), cond) {
			return "IT CAME TO BE\n", nil
		}
	}
	return "", nil
}

// backendFault lays a fault over those in force.
func (w *world) backendFault(a args) error {
	b := w.backends[a.word(0)]
	if b == nil {
		return errors.NotFoundf("backend %q", a.word(0))
	}
	f := w.faults[a.word(0)]
	for _, word := range a.words[1:] {
		switch word {
		case "hold":
			f.Hold = true
		case "release":
			f.Hold = false
		case "shed":
			f.Shed = true
		case "down":
			f.Refuse = true
		case "up":
			f = backend.Faults{}
		case "hang":
			f.Hang = true
		case "drain":
			b.SetDraining(true)
		default:
			return errors.NotSupportedf("fault %q", word)
		}
	}
	f.CrashPath = a.text("crash", f.CrashPath)
	f.Health = a.text("health", f.Health)
	f.DropBefore, f.DropAfter = a.number("drop-before", 0), a.number("drop-after", 0)
	f.Cut, f.Late, f.LateMS = a.number("cut", 0), a.number("late", 0), a.number("ms", f.LateMS)
	w.faults[a.word(0)] = f
	return errors.Trace(b.SetFaults(f))
}

func (w *world) platformFault(a args) error {
	f := platform.Faults{
		LoseReplies: a.number("lose-replies", 0), LoseRequests: a.number("lose-requests", 0),
		StaleVersions: a.number("stale", 0), DelayMS: int(a.time("slow", 0).Milliseconds()),
	}
	for _, word := range a.words {
		switch word {
		case "up":
		case "down":
			f.Down = platform.DownRefuse
		case "unavailable":
			f.Down = platform.DownUnavailable
		case "frozen-list":
			f.FreezeList = true
		default:
			return errors.NotSupportedf("fault %q", word)
		}
	}
	return errors.Trace(w.platform.SetFaults(f))
}

// list sets what the platform's list says of an instance or backend server.
func (w *world) list(id, state string) error {
	if state == "gone" {
		w.platform.RemoveInstance(id)
		return nil
	}
	line := api.Instance{ID: id, Kind: api.KindBackend, State: api.InstanceState(state)}
	if in := w.instances[id]; in != nil {
		line.Kind, line.Zone, line.Peer = api.KindEntry, in.zone, in.addr.Peer
	}
	for _, s := range w.estate.Services {
		for _, b := range s.Backends {
			if b.Name == id {
				line.Zone = b.Zone
			}
		}
	}
	w.platform.PutInstance(line)
	return nil
}

// nodes returns the network nodes that a name stands for: one of an instance,
// a backend server or the platform, or the instances of a zone or region.
func (w *world) nodes(name string) []string {
	if name == platformNode || w.instances[name] != nil || w.backends[name] != nil {
		return []string{name}
	}
	var out []string
	for id, in := range w.instances {
		if z, ok := w.estate.ZoneOf(in.zone); ok && (z.Name == name || z.Region == name) {
			out = append(out, id)
		}
	}
	return out
}

func (w *world) eachPair(a args, f func(a, b string)) error {
	left, right := w.nodes(a.word(0)), w.nodes(a.word(1))
	if len(left) == 0 || len(right) == 0 {
		return errors.NotFoundf("%q or %q", a.word(0), a.word(1))
	}
	for _, x := range left {
		for _, y := range right {
			f(x, y)
		}
	}
	return nil
}
