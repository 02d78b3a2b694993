package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// Options are what a day leaves open.
type Options struct {
	Instances int
	// PerSecond is the number of requests a second.
	PerSecond int
	// Follow is the id of a request whose life is reported; empty for none.
	Follow string
	// Log is the file that takes the log lines of the instances; empty for none.
	Log string
}

// Runner plays days, each in a process of its own of the compiled tests of this package:
// testing/synctest needs a test, and yamux shares timers between bubbles.
type Runner struct {
	// Program is the path of the compiled tests.
	Program string
	Options
}

// playTimeout bounds the time of one run.
const playTimeout = 2 * time.Minute

// PlayError is returned for a day that could not be played to its end.
type PlayError struct {
	Day Day
	// Output is what the process has written, without the goroutines that hold nothing up.
	Output string
	Cause  error
}

// Error implements error.
func (e *PlayError) Error() string {
	return fmt.Sprintf("play %s: %v; build the program with \"make build\", or make the day smaller\n%s", e.Day.Name, e.Cause, e.Output)
}

// Unwrap returns the cause.
func (e *PlayError) Unwrap() error { return e.Cause }

// Play plays a day. Errors are of type *PlayError, but for those of files.
func (r Runner) Play(ctx context.Context, d Day) (Report, error) {
	dir, err := os.MkdirTemp("", "banyandeal-simulation-")
	if err != nil {
		return Report{}, errors.Trace(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	day, report := filepath.Join(dir, "day.toml"), filepath.Join(dir, "report.json")
	if err := os.WriteFile(day, []byte(d.String()), 0o600); err != nil {
		return Report{}, errors.Trace(err)
	}
	cmd := exec.CommandContext(ctx, r.Program, "-test.run", "^TestPlay$", "-test.timeout", playTimeout.String(), "-day", day, "-report", report,
		"-instances", fmt.Sprint(r.Instances), "-rate", fmt.Sprint(r.PerSecond), "-follow", r.Follow, "-log", r.Log)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1", "GOGC=400")
	out, err := cmd.CombinedOutput()
	if err != nil {
		return Report{}, &PlayError{Day: d, Output: withoutWaiting(string(out)), Cause: err}
	}
	raw, err := os.ReadFile(report)
	if err != nil {
		return Report{}, &PlayError{Day: d, Output: string(out), Cause: err}
	}
	var played Report
	if err := json.Unmarshal(raw, &played); err != nil {
		return Report{}, errors.Annotatef(err, "read the report of %s", d.Name)
	}
	played.Processor = cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	return played, nil
}

// withoutWaiting returns the output of a process without the goroutines that wait in simulated
// time, which hold nothing up.
func withoutWaiting(out string) string {
	blocks := slices.DeleteFunc(strings.Split(out, "\n\n"), func(b string) bool { return strings.Contains(b, "(durable)") })
	return strings.Join(blocks, "\n\n")
}

// Memory that a run takes: processBytes, and instanceBytes more for each instance.
const (
	processBytes  = 32 << 20
	instanceBytes = 4 << 20
)

// TooLargeError is returned for runs that need more memory than they may take.
type TooLargeError struct {
	Instances, Jobs      int
	NeedBytes, HaveBytes uint64
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%d runs at a time with %d instances need about %d MB, and half of the memory is %d MB; choose fewer instances or jobs",
		e.Jobs, e.Instances, e.NeedBytes>>20, e.HaveBytes>>20)
}

// CheckMemory returns a *TooLargeError if so many runs at a time need more than the given bytes.
func CheckMemory(instances, jobs int, have uint64) error {
	need := uint64(jobs) * (processBytes + uint64(instances)*instanceBytes)
	if need > have {
		return &TooLargeError{Instances: instances, Jobs: jobs, NeedBytes: need, HaveBytes: have}
	}
	return nil
}

// PlaySeeds plays the days that are drawn from consecutive seeds, so many at a time, and returns
// their reports in the order of the seeds. It ends at the first day that can't be played.
func (r Runner) PlaySeeds(ctx context.Context, first uint64, seeds, jobs int) ([]Report, error) {
	reports := make([]Report, seeds)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(jobs)
	for n := range seeds {
		group.Go(func() error {
			played, err := r.Play(ctx, Draw(first+uint64(n), drawnTraffic))
			reports[n] = played
			return err
		})
	}
	return reports, group.Wait()
}
