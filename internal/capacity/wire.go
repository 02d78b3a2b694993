package capacity

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/banyandeal/banyandeal/internal/blocktable"
	"github.com/banyandeal/banyandeal/internal/lookup"
	"github.com/banyandeal/banyandeal/internal/peer"
	"github.com/banyandeal/banyandeal/internal/peer/peerpb"
	"github.com/banyandeal/banyandeal/internal/snapshot"
	"github.com/banyandeal/banyandeal/internal/telemetry"
)

// Names of the series over calls between processes, on loopback. Both ends run
// in this process, so the processor time is that of both.
const (
	wireHeartbeats = "heartbeats without news, bytes of both messages"
	wireCalls      = "heartbeats over peer sessions, processor of both ends"
	wireSessions   = "peer sessions, memory of both ends"
	wireLookups    = "look-ups over HTTP, processor of both ends"
	wireAnswer     = "look-ups answered, bytes of the answers"
	// overhead is what one small message takes besides its protobuf bytes:
	// yamux headers of its open, data and close (12 bytes each), its length,
	// and one segment's IPv4 and TCP headers with time stamps (52 bytes).
	overhead = 3*12 + 1 + 52
)

// heartbeat returns a heartbeat without news and its reply, as control sends
// them.
func heartbeat() (*peerpb.Call, *peerpb.Reply) {
	one := func(k int) *peerpb.Exchange {
		in := newInstance(0, k)
		return &peerpb.Exchange{
			From: &peerpb.Identity{Id: in.ID, Incarnation: in.Incarnation}, Zone: in.Zone, Region: regionName(0), ConfigVersion: 24_000,
			OwnersVersion: 7000, LinksVersion: 9000, Self: instanceRecord(in),
			Global: &peerpb.Refresh{Since: 100_000, Digest: 1 << 60}, Local: &peerpb.Refresh{Since: 100_000, Digest: 1 << 60},
		}
	}
	return &peerpb.Call{Call: &peerpb.Call_Exchange{Exchange: one(0)}}, &peerpb.Reply{Reply: &peerpb.Reply_Exchange{Exchange: one(1)}}
}

// HeartbeatBytes is one heartbeat without news and its reply on the wire.
func HeartbeatBytes() float64 {
	call, reply := heartbeat()
	return float64(proto.Size(call) + proto.Size(reply) + 2*overhead)
}

// slimBytes is HeartbeatBytes without the senders' own records.
func slimBytes() float64 {
	call, reply := heartbeat()
	call.GetExchange().Self, reply.GetExchange().Self = nil, nil
	return float64(proto.Size(call) + proto.Size(reply) + 2*overhead)
}

// measureWire measures calls on loopback.
func measureWire(add func(Series)) error {
	for _, m := range []func(func(Series)) error{measureCalls, measureLookups} {
		if err := m(add); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// answerer replies to each call with one reply.
type answerer struct{ reply *peerpb.Reply }

// ServeCall implements peer.Handler.
func (a answerer) ServeCall(context.Context, *peerpb.Call, io.Reader) (*peerpb.Reply, io.ReadCloser) {
	return a.reply, nil
}

func measureCalls(add func(Series)) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Trace(err)
	}
	call, reply := heartbeat()
	server := peer.NewServer(answerer{reply})
	go server.Serve(l)
	defer server.Close()
	defer l.Close()
	client := peer.NewClient(nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	one := func() {
		_, body, err := client.Call(ctx, l.Addr().String(), call, nil)
		check(err)
		body.Close()
	}
	one()
	sessions := over{add: add, variable: "sessions", steps: []int{10, 40, 120}, target: 120}
	sessions.measure(wireSessions, Bytes, "internal/peer", func(n int) float64 {
		var open []*peer.Client
		defer func() {
			for _, c := range open {
				c.Close()
			}
		}()
		return heap(func() any {
			for range n {
				c := peer.NewClient(nil)
				open = append(open, c)
				_, body, err := c.Call(ctx, l.Addr().String(), call, nil)
				check(err)
				body.Close()
			}
			return open
		})
	})
	calls := over{add: add, variable: "heartbeats", steps: []int{1000, 2000, 4000}, target: 4000}
	calls.measure(wireHeartbeats, Bytes, "internal/peer", func(n int) float64 { return float64(n) * HeartbeatBytes() })
	calls.measure(wireCalls, Seconds, "internal/peer", func(n int) float64 {
		return oneCall(func() {
			for range n {
				one()
			}
		})
	})
	return nil
}

// lookupBlocks is the size of the block table behind look-ups over HTTP.
const lookupBlocks = 100_000

func measureLookups(add func(Series)) error {
	size := Letter
	size.Blocks = lookupBlocks
	e := newEstate(size)
	var entries []blocktable.Entry
	for _, b := range e.Blocks {
		entries = append(entries, blocktable.Entry{Prefix: b.Prefix})
	}
	table, err := blocktable.New(entries)
	if err != nil {
		return errors.Trace(err)
	}
	snap, err := newSnapshot(e, table)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Trace(err)
	}
	h := &lookup.Handler{Snapshot: func() *snapshot.Snapshot { return snap }, Metrics: telemetry.NewMetrics()}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go server.Serve(l)
	defer server.Close()
	return askLookups(add, l.Addr().String(), e.Services[0].Name)
}

// askLookups sends look-ups one after the other on one connection, and reads
// the answers as plain bytes so that the caller's side costs little.
func askLookups(add func(Series), addr, service string) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return errors.Trace(err)
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	read := 0
	ask := func(i int) {
		_, err := fmt.Fprintf(conn, "GET /v1/lookup?service=%s&caller=%s HTTP/1.1\r\nHost: lookup\r\n\r\n", service, callerIn(i%lookupBlocks))
		check(err)
		read += readAnswer(r)
	}
	ask(0)
	lookups := over{add: add, variable: "look-ups", steps: []int{2000, 4000, 8000}, target: 8000}
	var bytes []float64
	lookups.measure(wireLookups, Seconds, "internal/lookup", func(n int) float64 {
		read = 0
		t := oneCall(func() {
			for i := range n {
				ask(i)
			}
		})
		bytes = append(bytes, float64(read))
		return t
	})
	lookups.measure(wireAnswer, Bytes, "internal/lookup", func(int) float64 {
		b := bytes[0]
		bytes = bytes[1:]
		return b
	})
	return nil
}

// readAnswer reads one HTTP answer with a Content-Length and returns its size.
func readAnswer(r *bufio.Reader) int {
	size, length := 0, 0
	for {
		line, err := r.ReadString('\n')
		check(err)
		size += len(line)
		if line == "\r\n" {
			break
		}
		// Lines of other fields leave length as it is.
		_, _ = fmt.Sscanf(line, "Content-Length: %d", &length)
	}
	n, err := io.CopyN(io.Discard, r, int64(length))
	check(err)
	return size + int(n)
}
