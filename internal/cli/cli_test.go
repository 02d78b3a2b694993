package cli_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"flag"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/banyandeal/banyandeal/internal/cli"
)

var update = flag.Bool("update", false, "write the golden files of the sessions anew")

// maxSleeps bounds the waits of one run under the fake clock; the last one
// ends as an interrupt would.
const maxSleeps = 200

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"banyandeald": runDaemon,
		"banyanctl": func() {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
			var stdout, stderr bytes.Buffer
			o := cli.Options{
				Stdout: &stdout, Stderr: &stderr, Version: "1.2.3", Clock: newFakeClock(),
				NewID: func() string { return os.Getenv("CHANGE_ID") },
			}
			if os.Getenv("CLOCK") == "system" {
				o.Clock, o.NewID = cli.SystemClock{}, rand.Text
			}
			code := cli.Run(ctx, os.Args, o)
			stop()
			named := strings.NewReplacer(strings.Fields(os.Getenv(envAddresses))...)
			_, _ = named.WriteString(os.Stdout, stdout.String())
			_, _ = named.WriteString(os.Stderr, stderr.String())
			os.Exit(code)
		},
	})
}

// envAddresses holds pairs of a loopback address and the name that takes its
// place in what the tool prints, so that golden files hold no ports.
const envAddresses = "ADDRESSES"

// nameAddress adds a pair to envAddresses.
func nameAddress(ts *testscript.TestScript, addr, name string) {
	ts.Setenv(envAddresses, ts.Getenv(envAddresses)+" "+addr+" "+name)
}

// TestSessions runs whole sessions at the tool, each in a directory with the
// configuration testdata/estate. Besides the commands of testscript they have
//
//	exits CODE banyanctl ARGS...   run the tool, which must end with the code
//	platform                       start a platform and set BANYAN_PLATFORM
//	faults JSON                    set the faults of the platform
//	lossy                          lose the reply to the next write, be down then
//	instances FILE                 start the instances of the file and set
//	                               BANYAN_OPERATOR to the first, $NAME to each
//
// and, for sessions with running instances,
//
//	ports NAME...                  set variables to free loopback addresses
//	expand FILE...                 replace variables in files
//	backend NAME ADDRESS           start a backend server
//	list ID ZONE PEER              put an instance on the platform's list
//	eventually REGEXP COMMAND...   run the tool until its output matches
//	request ADDRESS PATH           send a request, which must be done
func TestSessions(t *testing.T) { runSessions(t, "testdata") }

// TestWalk runs the sessions with running instances.
func TestWalk(t *testing.T) { runSessions(t, "testdata/walk") }

func runSessions(t *testing.T, dir string) {
	testscript.Run(t, testscript.Params{
		Dir:                 dir,
		UpdateScripts:       *update,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(env *testscript.Env) error {
			env.Setenv("CHANGE_ID", "change-1")
			env.Setenv("GORACE", "atexit_sleep_ms=10") // of each run of the tool, a second by default
			if dir != "testdata" {
				return nil // it brings its own
			}
			return os.CopyFS(env.WorkDir+"/estate", os.DirFS("testdata/estate"))
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits":      exits,
			"platform":   startPlatform,
			"faults":     setFaults,
			"instances":  startInstances,
			"lossy":      startLossy,
			"ports":      setPorts,
			"expand":     expandFiles,
			"backend":    startBackend,
			"list":       listInstance,
			"eventually": eventually,
			"request":    sendRequest,
		},
	})
}

func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE COMMAND ARGS...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		var failed *exec.ExitError
		if !errors.As(err, &failed) {
			ts.Fatalf("%v", err)
		}
		got = failed.ExitCode()
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d; stderr:\n%s", got, want, ts.ReadFile("stderr"))
	}
}

// fakeClock starts at a fixed time and moves on by what is slept.
type fakeClock struct {
	now  time.Time
	left int
}

func newFakeClock() *fakeClock {
	left := maxSleeps
	if n, err := strconv.Atoi(os.Getenv("SLEEPS")); err == nil {
		left = n
	}
	return &fakeClock{now: time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC), left: left}
}

func (c *fakeClock) Now() time.Time { return c.now }

func (c *fakeClock) Sleep(ctx context.Context, d time.Duration) error {
	if c.left == 0 {
		return context.Canceled
	}
	c.left--
	c.now = c.now.Add(d)
	return ctx.Err()
}

var commandNames = []string{"validate", "diff", "apply", "drain", "fill", "status", "lookup", "trace", "version", "check", "explain", "completion"}

// Help and the completion scripts name every command.
func TestHelpNamesCommands(t *testing.T) {
	var out bytes.Buffer
	o := cli.Options{Stdout: &out, Stderr: &out, Clock: newFakeClock()}
	if code := cli.Run(t.Context(), []string{"banyanctl", "--help"}, o); code != cli.ExitOK {
		t.Fatalf("exit code %d", code)
	}
	for _, name := range commandNames {
		if !bytes.Contains(out.Bytes(), []byte("\n   "+name)) {
			t.Errorf("no command %s in\n%s", name, out.String())
		}
		out.Reset()
		if code := cli.Run(t.Context(), []string{"banyanctl", name, "--help"}, o); code != cli.ExitOK {
			t.Errorf("%s --help: exit code %d", name, code)
		}
		if !bytes.Contains(out.Bytes(), []byte("banyanctl "+name)) {
			t.Errorf("no example in\n%s", out.String())
		}
		out.Reset()
		cli.Run(t.Context(), []string{"banyanctl", "--help"}, o)
	}
}
