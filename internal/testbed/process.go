package testbed

import (
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// process is one child process. It is ended by its own id only.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	// done is closed once the process has ended; err is valid from then on.
	done chan struct{}
	err  error
}

// processes starts children and ends those that are left.
type processes struct {
	bin, logs string

	mu  sync.Mutex
	all map[string]*process
}

// start runs a program of the bin directory; its output goes to a file of its
// own.
func (ps *processes) start(name, program string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(ps.logs, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Trace(err)
	}
	p := &process{name: name, cmd: exec.Command(filepath.Join(ps.bin, program), args...), log: log, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		_ = log.Close()
		return errors.Annotatef(err, "starting %s", name)
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.all[name] = p
	return nil
}

func (ps *processes) get(name string) *process {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.all[name]
}

// names returns the names of all processes in order.
func (ps *processes) names() []string {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return slices.Sorted(maps.Keys(ps.all))
}

// kill ends a process at once and waits for its end.
func (ps *processes) kill(name string) {
	p := ps.get(name)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// killAtOnce kills processes together and waits for their ends.
func (ps *processes) killAtOnce(names []string) {
	var wg sync.WaitGroup
	for _, n := range names {
		wg.Go(func() { ps.kill(n) })
	}
	wg.Wait()
}

// stop asks a process to stop and waits. An error tells that it did not stop
// in time, and was killed, or did not exit 0.
func (ps *processes) stop(name string, limit time.Duration) error {
	p := ps.get(name)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-p.done:
		return errors.Annotatef(p.err, "%s, asked to stop", name)
	case <-t.C:
		ps.kill(name)
		return errors.Errorf("%s did not stop within %s", name, limit)
	}
}

// stopAll stops the named processes at once and returns the errors of those
// that failed to.
func (ps *processes) stopAll(names []string, limit time.Duration) []error {
	errs := make([]error, len(names))
	var wg sync.WaitGroup
	for i, n := range names {
		wg.Go(func() { errs[i] = ps.stop(n, limit) })
	}
	wg.Wait()
	var out []error
	for _, err := range errs {
		if err != nil {
			out = append(out, err)
		}
	}
	return out
}

// killAll ends whatever is left.
func (ps *processes) killAll() {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for _, p := range ps.all {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
