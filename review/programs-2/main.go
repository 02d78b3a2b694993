// Command review-2 runs the scripted cases of the second review. Each starts the instances of a
// small deployment as processes, with stand-ins for the store, upstreams and clients.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases maps the name of a case to what it does. It reports whether the rule was broken.
var cases = map[string]func(r *rig) (broken bool, err error){
	"refused":         runRefused,
	"opaque-header":   runOpaqueHeader,
	"chunked":         runChunked,
	"handover-memory": runHandoverMemory,
	"look-ups":        runLookups,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE DIR; the environment variable TROUBLE=0 leaves the disruption out")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run runs a case and returns the exit code.
func run(name, dir string) int {
	r, err := newRig(dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	broken, err := cases[name](r)
	switch {
	case err != nil:
		r.record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	case broken:
		r.record.line("the rule was broken")
		return exitBroken
	}
	r.record.line("the rule held")
	return exitHeld
}
