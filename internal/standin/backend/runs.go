package backend

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
)

// maxRuns bounds the runs kept in memory; a run log on file has no bound.
const maxRuns = 1 << 20

// RunState is how far a run has come.
type RunState string

// States of a run.
const (
	// RunStarted holds a slot. It is the last state of a run whose process died.
	RunStarted RunState = "started"
	// RunDone has finished its work.
	RunDone RunState = "done"
	// RunStopped was stopped half way since its client went away.
	RunStopped RunState = "stopped"
	// RunCrashed took the backend server down.
	RunCrashed RunState = "crashed"
)

// Run is one run of a request by a backend server. A request that was shed,
// refused or cancelled while queued has none.
type Run struct {
	Backend string `json:"backend"`
	// Incarnation is when the backend server started, in Unix nanoseconds; with
	// Number it names the run.
	Incarnation int64    `json:"incarnation"`
	Number      uint64   `json:"run"`
	Key         string   `json:"key"`
	Request     string   `json:"request"`
	Method      string   `json:"method"`
	URL         string   `json:"url"`
	State       RunState `json:"state"`
	// Started and Ended are when the run took its slot and when it gave up its
	// work; Ended is zero for a run that has not ended.
	Started time.Time `json:"started"`
	Ended   time.Time `json:"ended,omitzero"`
}

// runLog keeps the runs of one backend server and copies each change as a JSON
// line to a writer.
type runLog struct {
	name        string
	incarnation int64

	mu sync.Mutex
	// runs holds run n at index n-1, the first maxRuns only.
	runs []Run
	last uint64
	out  io.Writer
}

func newRunLog(name string, out io.Writer) *runLog {
	return &runLog{name: name, incarnation: time.Now().UnixNano(), out: out}
}

func (l *runLog) start(r Run) Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Backend, r.Incarnation, r.State = l.name, l.incarnation, RunStarted
	r.Started = time.Now()
	l.last++
	r.Number = l.last
	if len(l.runs) < maxRuns {
		l.runs = append(l.runs, r)
	}
	l.copy(r)
	return r
}

func (l *runLog) end(r Run, state RunState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.State, r.Ended = state, time.Now()
	if r.Number <= uint64(len(l.runs)) {
		l.runs[r.Number-1] = r
	}
	l.copy(r)
}

func (l *runLog) copy(r Run) {
	if l.out == nil {
		return
	}
	line, err := json.Marshal(r)
	if err != nil {
		return
	}
	_, _ = l.out.Write(append(line, '\n'))
}

func (l *runLog) list() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

// ReadRuns reads run logs written to a file and returns each run once, in its
// last state, ordered by backend server and number. A last line that was cut
// short is left out.
func ReadRuns(r io.Reader) ([]Run, error) {
	type id struct {
		backend     string
		incarnation int64
		number      uint64
	}
	last := map[id]Run{}
	in := bufio.NewReader(r)
	for {
		line, err := in.ReadBytes('\n')
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, errors.Annotate(err, "reading a run log")
		}
		var run Run
		if err := json.Unmarshal(line, &run); err != nil {
			return nil, errors.Annotate(err, "decoding a run log")
		}
		last[id{run.Backend, run.Incarnation, run.Number}] = run
	}
	runs := make([]Run, 0, len(last))
	for _, run := range last {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Number, b.Number))
	})
	return runs, nil
}
