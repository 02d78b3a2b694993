package refresh

import (
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Message is one way of an exchange.
type Message struct {
	Records []Record
	// Since, in a request, is the last change of the receiver that the sender
	// has; in a reply, the number of the replier's last change.
	Since uint64
	// Digest is that of the sender's whole set.
	Digest uint64
	// Full asks for every record.
	Full bool
	// Nodes are digests of tree nodes; only policies with a tree send them.
	Nodes []NodeDigest
	// Leaves asks for the records of these leaves of the tree, sorted.
	Leaves []uint32
}

// NodeDigest is the digest of one node of the tree: Index below fanOut on the upper
// level of a request, a leaf in a reply.
type NodeDigest struct {
	Index  uint32
	Digest uint64
}

// fixed64Size is a fixed64 field with its tag.
const fixed64Size = 9

// Size returns the message's size in bytes as protobuf, with digests as fixed64
// and leaves packed.
func (m Message) Size() int {
	n := fixed64Size + 1 + protowire.SizeVarint(m.Since)
	if m.Full {
		n += 2
	}
	for _, r := range m.Records {
		n += r.Size()
	}
	for _, d := range m.Nodes {
		n += 1 + protowire.SizeBytes(1+protowire.SizeVarint(uint64(d.Index))+fixed64Size)
	}
	for _, l := range m.Leaves {
		n += protowire.SizeVarint(uint64(l))
	}
	return n
}

// Policy exchanges a set with one incarnation of one neighbour. The caller
// sends Request's message, the neighbour answers it with its own Serve, and the
// answer goes to Finish. When no answer comes Finish is not called, and the next
// Request repeats what may be missing. Finish takes the answer to the last
// Request only; requests may arrive twice or late.
type Policy interface {
	Request() Message
	Serve(now time.Time, req Message) Message
	Finish(now time.Time, reply Message)
	// InSync reports whether the last finished exchange showed equal sets.
	InSync() bool
}

// session is what all policies know of a neighbour.
type session struct {
	set *Set
	// acked is the last own change that the neighbour has, since its last
	// change that this side has.
	acked, since uint64
	// sentAt is the last own change at the last Request.
	sentAt uint64
	inSync bool
}

func (s *session) InSync() bool { return s.inSync }

func (s *session) request(records []Record) Message {
	s.sentAt = s.set.changes
	return Message{Records: records, Since: s.since, Digest: s.set.Digest()}
}

// serve takes the request's records and answers with own. They are chosen
// before, so that none goes back where it came from.
func (s *session) serve(now time.Time, req Message, own []Record) Message {
	s.put(now, req.Records)
	return Message{Records: own, Since: s.set.changes, Digest: s.set.Digest()}
}

func (s *session) put(now time.Time, records []Record) {
	for _, r := range records {
		s.set.Put(now, r)
	}
}

// finish takes a reply. comparable is false when the set changed since the
// request, so that digests say nothing.
func (s *session) finish(now time.Time, reply Message) (comparable bool) {
	comparable = s.set.changes == s.sentAt
	s.put(now, reply.Records)
	s.acked, s.since = s.sentAt, reply.Since
	if comparable {
		// What the reply brought needs no sending back.
		s.acked = s.set.changes
		s.inSync = s.set.Digest() == reply.Digest
	}
	return comparable
}

// full sends everything every time.
type full struct{ session }

// NewFullPolicy returns the policy of plain full refresh.
func NewFullPolicy(set *Set) Policy { return &full{session{set: set}} }

func (p *full) Request() Message { return p.request(p.set.all()) }

func (p *full) Serve(now time.Time, req Message) Message { return p.serve(now, req, p.set.all()) }

func (p *full) Finish(now time.Time, reply Message) { p.finish(now, reply) }

// retryFull is how many exchanges lie between full ones that do not help, as
// when one side has no room.
const retryFull = 32

// delta sends changes and one digest.
type delta struct {
	session
	// mismatches counts the exchanges since digests differed: after the first
	// the log is sent, after the second everything.
	mismatches int
}

// NewDeltaPolicy returns the policy of changes with one digest.
func NewDeltaPolicy(set *Set) Policy { return &delta{session: session{set: set}} }

func (p *delta) Request() Message {
	switch {
	case p.mismatches == 1:
		m := p.request(p.set.recent())
		m.Since -= min(m.Since, uint64(len(p.set.log)))
		return m
	case p.mismatches%retryFull == 2:
		m := p.request(p.set.all())
		m.Full = true
		return m
	}
	return p.request(p.set.since(p.acked))
}

func (p *delta) Serve(now time.Time, req Message) Message {
	if req.Full {
		return p.serve(now, req, p.set.all())
	}
	return p.serve(now, req, p.set.since(req.Since))
}

func (p *delta) Finish(now time.Time, reply Message) {
	switch {
	case !p.finish(now, reply):
	case p.inSync:
		p.mismatches = 0
	default:
		p.mismatches++
	}
}

// tree sends changes and digests of a two-level tree; where they differ it
// sends the records of the leaves that differ. The paper groups sessions in
// sorted order, so that an insertion shifts the groups; here a key's hash
// chooses its leaf, so that nothing shifts.
type tree struct {
	session
	// lazy sends one digest, and the tree's only after a mismatch.
	lazy   bool
	walk   bool
	leaves []uint32
}

// NewTreePolicy returns the policy of the paper: changes, and the upper level of the
// digest tree in each exchange.
func NewTreePolicy(set *Set) Policy { return &tree{session: session{set: set}} }

// NewDeltaTreePolicy returns the policy of changes with one digest, whose mismatch is
// settled by a walk down the tree.
func NewDeltaTreePolicy(set *Set) Policy { return &tree{session: session{set: set}, lazy: true} }

func (p *tree) Request() Message {
	if len(p.leaves) > 0 {
		m := p.request(append(p.set.since(p.acked), p.set.inLeaves(p.leaves)...))
		m.Leaves = p.leaves
		return m
	}
	m := p.request(p.set.since(p.acked))
	if !p.lazy || p.walk {
		for i, d := range p.set.nodes {
			m.Nodes = append(m.Nodes, NodeDigest{Index: uint32(i), Digest: d})
		}
	}
	return m
}

func (p *tree) Serve(now time.Time, req Message) Message {
	own := p.set.since(req.Since)
	if len(req.Leaves) > 0 {
		own = append(own, p.set.inLeaves(req.Leaves)...)
	}
	reply := p.serve(now, req, own)
	for _, n := range req.Nodes {
		if n.Index < fanOut && p.set.nodes[n.Index] != n.Digest {
			reply.Nodes = append(reply.Nodes, p.children(n.Index)...)
		}
	}
	return reply
}

func (p *tree) children(node uint32) []NodeDigest {
	out := make([]NodeDigest, 0, fanOut)
	for i := node << fanOutBits; i < (node+1)<<fanOutBits; i++ {
		out = append(out, NodeDigest{Index: i, Digest: p.set.leaves[i]})
	}
	return out
}

func (p *tree) Finish(now time.Time, reply Message) {
	if p.finish(now, reply) {
		p.walk = !p.inSync
	}
	p.leaves = nil
	for _, n := range reply.Nodes {
		if n.Index < leafCount && p.set.leaves[n.Index] != n.Digest {
			p.leaves = append(p.leaves, n.Index)
		}
	}
	slices.Sort(p.leaves)
}
