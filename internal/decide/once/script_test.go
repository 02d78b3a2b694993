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

// TestScripts runs the sessions of testdata. After each command everything on
// the network is delivered in order, except between instances that are cut
// off, to those that are paused, and to a table that is down. Commands:
//
//	instance NAME [memory=little] [skew=D]
//	key NAME [home=I] [ttl=D]  issue a key, or choose one without a home
//	send I NAME [changed]      an attempt arrives from a caller
//	start I RUN                the driver asks to start a run
//	finish I RUN HOW           done, lost, unsent or refused; see finish
//	cancel ATTEMPT gone|late   the caller went away, or the deadline passed
//	kill I | restart I         restart begins a new incarnation
//	gone I at=J                J has evidence that I has ended
//	handover I to=J            a planned stop of I
//	pause I | resume I         the process stands still
//	cut I J | heal I J
//	table down|up
//	lose KIND                  the next message of the kind is lost
//	force I KIND               a blocked message of the kind from I arrives
//	advance D                  time passes and each instance gets a tick
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &session{world: newWorld(Config{MaxKeyTTL: 10 * time.Minute, ClaimTTL: 10 * time.Minute, ClaimShards: 1}),
			blocked: map[string]bool{}, lose: map[string]int{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.log.Reset()
			var args []string
			for _, a := range d.CmdArgs {
				args = append(args, a.Key)
			}
			s.command(t, d, args)
			s.deliver()
			if s.fault != "" {
				d.Fatalf(t, "%s", s.fault)
			}
			return s.log.String()
		})
	})
}

type session struct {
	*world
	// blocked holds "a b" for a pair that is cut off, "a" for one that is
	// paused, and "table".
	blocked map[string]bool
	lose    map[string]int
}

func (s *session) command(t *testing.T, d *datadriven.TestData, args []string) {
	number := func(i int) uint64 {
		n, err := strconv.ParseUint(args[i], 10, 64)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		return n
	}
	option := func(name, value string) string {
		d.MaybeScanArgs(t, name, &value)
		return value
	}
	switch d.Cmd {
	case "instance":
		if option("memory", "") != "" {
			s.cfg.MaxBytes = 2*recordOverhead + 100
		}
		skew, err := time.ParseDuration(option("skew", "0s"))
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s.addNode(args[0], 1).skew = skew
	case "key":
		ttl, err := time.ParseDuration(option("ttl", "5m"))
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		if home := option("home", ""); home != "" {
			s.issue(args[0], s.node(home), ttl)
		} else {
			s.names["chosen-"+args[0]] = args[0]
		}
	case "send":
		var fp Fingerprint
		if slices.Contains(args, "changed") {
			fp = 1
		}
		s.send(s.node(args[0]), request{key: s.keyText(args[1]), fp: fp})
	case "start":
		s.step(s.node(args[0]), Start{Run: RunID(number(1))})
	case "finish":
		if s.node(args[0]).runs[RunID(number(1))] == nil {
			d.Fatalf(t, "%s has no run %s", args[0], args[1])
		}
		s.finish(s.node(args[0]), RunID(number(1)), args[2])
	case "cancel":
		c := s.calls[AttemptID(number(0))]
		reason := CallerDisconnected
		if args[1] == "late" {
			reason = DeadlineExceeded
		}
		s.step(c.at, Cancel{Attempt: AttemptID(number(0)), Reason: reason})
	case "kill":
		s.kill(s.node(args[0]), true)
	case "restart":
		n := s.node(args[0])
		s.addNode(n.home.ID, n.home.Incarnation+1)
	case "gone":
		s.step(s.node(option("at", "")), HomeTerminated{Home: s.node(args[0]).home})
	case "handover":
		s.step(s.node(args[0]), StartHandover{To: s.node(option("to", "")).home})
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
		s.take(i).do()
	case "advance":
		by, err := time.ParseDuration(args[0])
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s.now = s.now.Add(by)
		for _, n := range s.nodes {
			if !s.blocked[n.name] {
				s.step(n, Tick{})
			}
		}
	case "quiet":
		s.printf("%t", s.node(args[0]).m.HandoverComplete())
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
}

func (s *session) keyText(name string) string {
	for text, n := range s.names {
		if n == name {
			return text
		}
	}
	panic(fmt.Sprintf("no key %s", name))
}

// deliver takes messages off the network until those that are left are
// blocked. While the table is down, calls to it fail.
func (s *session) deliver() {
	for {
		i := slices.IndexFunc(s.msgs, func(m *message) bool { return !s.stuck(m) })
		if i < 0 {
			return
		}
		m := s.take(i)
		if s.lose[m.kind] > 0 || m.to == nil && s.blocked["table"] {
			s.lose[m.kind] = max(0, s.lose[m.kind]-1)
			s.printf("lost")
			m.lose()
			continue
		}
		m.do()
	}
}

func (s *session) stuck(m *message) bool {
	if m.kind == "table-late" || s.blocked[m.from.name] {
		return true
	}
	return m.to != nil && (s.blocked[m.to.name] || s.blocked[m.from.name+" "+m.to.name] || s.blocked[m.to.name+" "+m.from.name])
}
