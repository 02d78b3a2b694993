package cli_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"regexp"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/banyandeal/banyandeal/internal/config/static"
	"github.com/banyandeal/banyandeal/internal/daemon"
	"github.com/banyandeal/banyandeal/internal/filter"
	api "github.com/banyandeal/banyandeal/internal/platform"
	"github.com/banyandeal/banyandeal/internal/standin/backend"
	"github.com/banyandeal/banyandeal/internal/standin/heldport"
	"github.com/banyandeal/banyandeal/internal/standin/platform"
)

const (
	// eventuallyLimit is how long something may take on a busy machine before
	// it counts as not happening.
	eventuallyLimit = 30 * time.Second
	eventuallyPoll  = 100 * time.Millisecond
)

// runDaemon is banyandeald SETTINGS.
func runDaemon() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	s, err := static.Load(os.Args[1])
	if err == nil {
		err = s.Validate()
	}
	if err == nil {
		err = daemon.Run(ctx, s, os.Stderr)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// setPorts sets each variable to a loopback address that nobody else gets before the
// script has ended.
func setPorts(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		port, err := heldport.Hold("127.0.0.1:0")
		ts.Check(err)
		ts.Defer(port.Release)
		ts.Setenv(name, port.Address())
	}
}

// expandFiles replaces variables in files.
func expandFiles(ts *testscript.TestScript, neg bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o644))
	}
}

func startBackend(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: backend NAME ADDRESS")
	}
	const slots, queue = 3, 6
	s := backend.New(backend.Config{Name: args[0], Address: args[1], Slots: slots, Queue: queue, Mean: time.Millisecond}, nil, nil)
	ts.Check(s.Open())
	ts.Defer(s.Close)
}

func listInstance(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: list ID ZONE PEER")
	}
	s, _ := sessions.Load(ts)
	s.(*platform.Server).PutInstance(api.Instance{
		ID: args[0], Kind: api.KindEntry, Zone: args[1], State: api.InstanceLive, Peer: args[2],
	})
}

// eventually runs the tool until what it prints matches.
func eventually(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: eventually REGEXP COMMAND ARGS...")
	}
	want, err := regexp.Compile("(?m)" + args[0])
	ts.Check(err)
	for deadline := time.Now().Add(eventuallyLimit); ; time.Sleep(eventuallyPoll) {
		err := ts.Exec(args[1], args[2:]...)
		if err == nil && want.MatchString(ts.ReadFile("stdout")) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("no %q within %s", args[0], eventuallyLimit)
		}
	}
}

// sendRequest sends a request as a caller, which must be done.
func sendRequest(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: request ADDRESS PATH")
	}
	res, err := http.Get("http://" + args[0] + args[1])
	ts.Check(err)
	defer func() { _ = res.Body.Close() }()
	if got := res.Header.Get(filter.HeaderOutcome); res.StatusCode != http.StatusOK || got != "done" {
		ts.Fatalf("status %d, outcome %q", res.StatusCode, got)
	}
}
