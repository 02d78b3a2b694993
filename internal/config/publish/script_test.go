package publish

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/juju/errors"
)

// TestScripts runs testdata/scripts/*.txt, each with a fresh store:
//
//	store  [down] [up] [commit=reply|request|late] [back=N] [settle]
//	                                 sets the faults of the store, or executes
//	                                 the delayed transactions (settle)
//	begin  op= id= expect= weight=   starts an apply of an operator
//	step   op= [n=1]                 performs the next n actions of the apply
//	run    op=                       performs the remaining actions
//	apply  op= id= expect= weight=   begin, then run
//	versions                         prints the history of the head
//	new    r= [ask=(a,b)]            starts an instance with these sources
//	ask    r= from=                  adds a source that the instance waits for
//	heard  r= from= version=         reports the version in a neighbour's heartbeat
//	poll   r= from=                  requests the head of a source
//	head   r= from= [back=N] [fail]  completes the fetch of a head, N versions old
//	serve  r= [fail=(a,b)] [corrupt=a] [n=100]  completes fetches of objects
//	forget r= from=                  removes a neighbour that has left
//
// The store serves the objects of the source platform; the instance of the same
// name serves those of any other source.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{store: newFakeStore(), operators: map[string]*Applier{}, receivers: map[string]*instance{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.out.Reset()
			s.command(t, d)
			if s.out.Len() == 0 {
				return "ok\n"
			}
			return s.out.String()
		})
	})
}

type script struct {
	store     *fakeStore
	operators map[string]*Applier
	receivers map[string]*instance
	out       strings.Builder
}

// instance is a Receiver with its fetches in flight.
type instance struct {
	*Receiver
	fetches []Fetch
}

func (s *script) printf(format string, args ...any) { fmt.Fprintf(&s.out, format, args...) }

func stringArg(t *testing.T, d *datadriven.TestData, name string) string {
	var v string
	d.ScanArgs(t, name, &v)
	return v
}

func intArg(t *testing.T, d *datadriven.TestData, name string, value int) int {
	if d.HasArg(name) {
		d.ScanArgs(t, name, &value)
	}
	return value
}

func listArg(d *datadriven.TestData, name string) []string {
	for _, a := range d.CmdArgs {
		if a.Key == name {
			return a.Vals
		}
	}
	return nil
}

func (s *script) command(t *testing.T, d *datadriven.TestData) {
	switch d.Cmd {
	case "store":
		s.storeCommand(t, d)
	case "begin":
		s.begin(t, d)
	case "apply":
		for a := s.begin(t, d); s.step(a); {
		}
	case "step":
		for range intArg(t, d, "n", 1) {
			s.step(s.operators[stringArg(t, d, "op")])
		}
	case "run":
		for s.step(s.operators[stringArg(t, d, "op")]) {
		}
	case "versions":
		s.printf("%s", s.store.versions(t))
	case "new":
		var ask []Source
		for _, a := range listArg(d, "ask") {
			ask = append(ask, Source(a))
		}
		s.receivers[stringArg(t, d, "r")] = &instance{Receiver: NewReceiver(ask...)}
		s.printReady(s.receivers[stringArg(t, d, "r")])
	default:
		s.receiverCommand(t, d, s.receivers[stringArg(t, d, "r")])
	}
}

func (s *script) begin(t *testing.T, d *datadriven.TestData) *Applier {
	opts := options(stringArg(t, d, "op"), stringArg(t, d, "id"), uint64(intArg(t, d, "expect", 0)))
	a := NewApplier(smallEstate(t, stringArg(t, d, "weight")), opts)
	s.operators[opts.Author] = a
	return a
}

func (s *script) storeCommand(t *testing.T, d *datadriven.TestData) {
	switch {
	case d.HasArg("down"):
		s.store.down = true
	case d.HasArg("up"):
		s.store.down = false
	case d.HasArg("settle"):
		s.store.applyDelayed()
	case d.HasArg("commit"):
		s.store.nextFault = commitFault(stringArg(t, d, "commit"))
	}
	s.store.versionsBehind = intArg(t, d, "back", 0)
}

// step performs one action of an operator and reports whether there may be more.
func (s *script) step(a *Applier) bool {
	switch act := a.Ready(); {
	case act.Done != nil:
		s.printf("done: version %d already=%v\n", act.Done.Head.Version, act.Done.AlreadyApplied)
		return false
	case act.Err != nil:
		s.printf("%T: %v\n", errors.Cause(act.Err), act.Err)
		return false
	default:
		s.printf("%s\n", s.describe(act))
		perform(context.Background(), s.store, a, act)
		return true
	}
}

func (s *script) describe(act Action) string {
	switch {
	case act.ReadHead:
		return "read head"
	case act.Commit != nil:
		return fmt.Sprintf("commit %s from version %d", act.Commit.ID, act.Commit.Writes[0].Expect)
	case len(act.Put) > 0:
		return fmt.Sprintf("put %d objects", len(act.Put))
	}
	labels := make([]string, len(act.Get))
	for i, digest := range act.Get {
		labels[i] = s.store.label(digest)
	}
	return "get " + strings.Join(labels, ", ")
}

func (s *script) receiverCommand(t *testing.T, d *datadriven.TestData, r *instance) {
	from := Source("")
	if d.HasArg("from") {
		from = Source(stringArg(t, d, "from"))
	}
	switch d.Cmd {
	case "heard":
		r.VersionAdvertised(from, uint64(intArg(t, d, "version", 0)))
	case "poll":
		r.Poll(from)
	case "ask":
		r.AddInitialSource(from)
	case "forget":
		r.RemoveSource(from)
	case "head":
		s.answerHead(t, d, r, from)
	case "serve":
		s.serve(t, d, r)
		return
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	s.printReady(r)
}

// printReady prints what a Receiver requests and records its fetches.
func (s *script) printReady(r *instance) {
	ready := r.Ready()
	for _, f := range ready.Fetch {
		what := "head"
		if f.Digest != "" {
			what = s.store.label(f.Digest)
		}
		s.printf("fetch %s from %s\n", what, f.Source)
	}
	r.fetches = append(r.fetches, ready.Fetch...)
	if i := ready.Install; i != nil {
		changed := strings.Join(i.Changed, " ")
		if i.Changed == nil {
			changed = "everything"
		}
		s.printf("in force: version %d (%s)\n", i.Head.Version, changed)
	}
}

func (s *script) answerHead(t *testing.T, d *datadriven.TestData, r *instance, from Source) {
	f := Fetch{Source: from}
	if !slices.Contains(r.fetches, f) {
		d.Fatalf(t, "no fetch of the head of %s is in flight", from)
	}
	r.fetches = slices.DeleteFunc(r.fetches, func(g Fetch) bool { return f == g })
	head := Head{}
	if from != Platform {
		if c := s.receivers[string(from)].Current(); c != nil {
			head = c.Head
		}
	} else if row := s.store.rowAt(intArg(t, d, "back", 0)); row.Version > 0 {
		head, _ = headOf(row)
	}
	switch {
	case d.HasArg("fail"):
		r.FetchFailed(f)
	case head.Version == 0:
		r.NoHead(from)
	default:
		r.HeadReceived(from, head)
	}
}

// serve completes fetches of objects, oldest first, including those that follow
// from them.
func (s *script) serve(t *testing.T, d *datadriven.TestData, r *instance) {
	for n := intArg(t, d, "n", 100); n > 0; n-- {
		i := slices.IndexFunc(r.fetches, func(f Fetch) bool { return f.Digest != "" })
		if i < 0 {
			return
		}
		f := r.fetches[i]
		r.fetches = slices.Delete(r.fetches, i, i+1)
		data, ok := s.readObject(f)
		switch {
		case !ok || slices.Contains(listArg(d, "fail"), string(f.Source)):
			s.printf("%s fails: %s\n", f.Source, s.store.label(f.Digest))
			r.FetchFailed(f)
		case slices.Contains(listArg(d, "corrupt"), string(f.Source)):
			s.printf("%s corrupts: %s\n", f.Source, s.store.label(f.Digest))
			r.Object(f, append([]byte{' '}, data...))
		default:
			r.Object(f, data)
		}
		s.printReady(r)
	}
}

func (s *script) readObject(f Fetch) ([]byte, bool) {
	if f.Source == Platform {
		data, ok := s.store.objects[string(f.Digest)]
		return data, ok && !s.store.down
	}
	if r := s.receivers[string(f.Source)]; r != nil && r.Current() != nil {
		return r.Current().Object(f.Digest)
	}
	return nil, false
}
