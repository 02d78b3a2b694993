package once

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestScripts runs the scripts in testdata. After each command, all messages on
// the network are delivered in order. Messages between instances that are cut
// off from each other, and from or to paused instances, stay on the network.
// Calls to the table fail while it is down. The commands are:
//
//	instance NAME [memory=small] [skew=D]  add an instance
//	key NAME [home=I] [ttl=D]  issue a key of I, or without home use a key
//	                           chosen by the caller
//	send I NAME [changed]      an attempt arrives from a caller; changed means
//	                           another request with the same key
//	start I RUN                the driver asks to start a run
//	finish I RUN HOW           done, lost, unsent or refused; see finish
//	cancel ATTEMPT gone|late   the caller disconnects, or the deadline passes
//	kill I | restart I         restart starts a new incarnation of I
//	gone I at=J                J gets evidence that I has terminated
//	handover I to=J            a planned shutdown of I with the successor J
//	pause I | resume I         stop or continue the process of I
//	cut I J | heal I J         cut or restore the network between I and J
//	table down|up              make the table service unavailable or available
//	lose KIND                  the next message of the kind is lost
//	force I KIND               a blocked message of the kind from I arrives
//	advance D                  advance the time by D; instances that are not
//	                           paused get a Tick
//	quiet I                    print whether the handover of I is complete
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{simulation: newSimulation(Config{MaxKeyTTL: 10 * time.Minute, ClaimTTL: 10 * time.Minute, ClaimShards: 1}),
			blocked: map[string]bool{}, lose: map[string]int{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.log.Reset()
			var args []string
			for _, a := range d.CmdArgs {
				args = append(args, a.Key)
			}
			s.command(t, d, args)
			s.deliver()
			if s.violation != "" {
				d.Fatalf(t, "%s", s.violation)
			}
			return s.log.String()
		})
	})
}

// script is the state of a script that runs on a simulation.
type script struct {
	*simulation
	// blocked holds "a b" if the instances a and b are cut off from each other,
	// "a" if the instance a is paused, and "table" if the table is down.
	blocked map[string]bool
	// lose counts, by kind, the next messages to lose.
	lose map[string]int
}

func (s *script) command(t *testing.T, d *datadriven.TestData, args []string) {
	number := func(i int) uint64 {
		n, err := strconv.ParseUint(args[i], 10, 64)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		return n
	}
	optionValue := func(name, value string) string {
		d.MaybeScanArgs(t, name, &value)
		return value
	}
	switch d.Cmd {
	case "instance":
		if optionValue("memory", "") != "" {
			s.cfg.MaxBytes = 2*recordOverhead + 100
		}
		skew, err := time.ParseDuration(optionValue("skew", "0s"))
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s.addInstance(args[0], 1).skew = skew
	case "key":
		ttl, err := time.ParseDuration(optionValue("ttl", "5m"))
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		if home := optionValue("home", ""); home != "" {
			s.issueKey(args[0], s.instance(home), ttl)
		} else {
			s.names["chosen-"+args[0]] = args[0]
		}
	case "send":
		var fp Fingerprint
		if slices.Contains(args, "changed") {
			fp = 1
		}
		s.send(s.instance(args[0]), request{key: s.keyText(args[1]), fp: fp})
	case "start":
		s.step(s.instance(args[0]), Start{Run: RunID(number(1))})
	case "finish":
		if s.instance(args[0]).runs[RunID(number(1))] == nil {
			d.Fatalf(t, "%s has no run %s", args[0], args[1])
		}
		s.finish(s.instance(args[0]), RunID(number(1)), args[2])
	case "cancel":
		c := s.attempts[AttemptID(number(0))]
		reason := CallerDisconnected
		if args[1] == "late" {
			reason = DeadlinePassed
		}
		s.step(c.at, Cancel{Attempt: AttemptID(number(0)), Reason: reason})
	case "kill":
		s.kill(s.instance(args[0]), true)
	case "restart":
		n := s.instance(args[0])
		s.addInstance(n.home.ID, n.home.Incarnation+1)
	case "gone":
		s.step(s.instance(optionValue("at", "")), HomeTerminated{Home: s.instance(args[0]).home})
	case "handover":
		s.step(s.instance(args[0]), StartHandover{To: s.instance(optionValue("to", "")).home})
	case "pause", "cut":
		s.blocked[strings.Join(args, " ")] = true
	case "resume", "heal":
		delete(s.blocked, strings.Join(args, " "))
	case "table":
		s.blocked["table"] = args[0] == "down"
	case "lose":
		s.lose[args[0]]++
	case "force":
		i := slices.IndexFunc(s.msgs, func(m *message) bool { return m.from.name == args[0] && m.kind == args[1] })
		s.takeMessage(i).receive()
	case "advance":
		by, err := time.ParseDuration(args[0])
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s.now = s.now.Add(by)
		for _, n := range s.instances {
			if !s.blocked[n.name] {
				s.step(n, Tick{})
			}
		}
	case "quiet":
		s.printf("%t", s.instance(args[0]).m.HandoverComplete())
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
}

// keyText returns the text of a named key.
func (s *script) keyText(name string) string {
	for text, n := range s.names {
		if n == name {
			return text
		}
	}
	panic(fmt.Sprintf("no key %s", name))
}

// deliver delivers messages until all that are left are blocked. Calls to the
// table fail while it is down.
func (s *script) deliver() {
	for {
		i := slices.IndexFunc(s.msgs, func(m *message) bool { return !s.isBlocked(m) })
		if i < 0 {
			return
		}
		m := s.takeMessage(i)
		if s.lose[m.kind] > 0 || m.to == nil && s.blocked["table"] {
			s.lose[m.kind] = max(0, s.lose[m.kind]-1)
			s.printf("lost")
			m.lose()
			continue
		}
		m.receive()
	}
}

// isBlocked reports whether a message cannot be delivered now.
func (s *script) isBlocked(m *message) bool {
	if m.kind == "table-late" || s.blocked[m.from.name] {
		return true
	}
	return m.to != nil && (s.blocked[m.to.name] || s.blocked[m.from.name+" "+m.to.name] || s.blocked[m.to.name+" "+m.from.name])
}
