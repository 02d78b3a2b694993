package refresh

import (
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Message is the request or the reply of one exchange.
type Message struct {
	Records []Record
	// Since is a change number of the replier's set. In a request it is the last
	// of the replier's changes that the requester has received. In a reply it is
	// the replier's last change.
	Since uint64
	// Digest is the digest of the sender's whole set.
	Digest uint64
	// Full requests every record.
	Full bool
	// Nodes holds digests of tree nodes. Only policies that use the digest tree
	// send it.
	Nodes []NodeDigest
	// Leaves requests the records of these leaves of the digest tree. It is
	// sorted.
	Leaves []uint32
}

// NodeDigest is the digest of one node of the digest tree.
type NodeDigest struct {
	// Index is the index of the node. In a request it denotes a node of the upper
	// level and is less than fanOut. In a reply it denotes a leaf.
	Index  uint32
	Digest uint64
}

// fixed64Size is the encoded size in bytes of a fixed64 field with its tag.
const fixed64Size = 9

// Size returns the encoded size of the message in bytes as protobuf, with digests
// encoded as fixed64 and leaves as a packed field.
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

// Policy synchronises a set with the set of one incarnation of one neighbour. In
// an exchange, the caller sends the message that Request returns, the neighbour
// replies with the result of its own Serve, and the caller passes the reply to
// Finish. When no reply arrives, Finish is not called and the next Request
// repeats the records that the neighbour may lack. A Policy is not safe for
// concurrent use.
type Policy interface {
	// Request returns the request of the next exchange.
	Request() Message
	// Serve stores the records of a request and returns the reply. Requests may
	// arrive twice or late.
	Serve(now time.Time, req Message) Message
	// Finish processes the reply to the last Request. It must not be called with
	// the reply to an earlier one.
	Finish(now time.Time, reply Message)
	// InSync reports whether the sets were equal at the end of the last finished
	// exchange in which they could be compared.
	InSync() bool
}

// session is the state that all policies keep for a neighbour.
type session struct {
	set *Set
	// ackedChange is the last change of set that the neighbour has received.
	// peerChange is the last change of the neighbour's set that set has received.
	ackedChange, peerChange uint64
	// requestChange is the last change of set at the time of the last Request.
	requestChange uint64
	// inSync is the result of InSync.
	inSync bool
}

// InSync implements Policy.
func (s *session) InSync() bool { return s.inSync }

// newRequest returns a request that carries records.
func (s *session) newRequest(records []Record) Message {
	s.requestChange = s.set.lastChange
	return Message{Records: records, Since: s.peerChange, Digest: s.set.Digest()}
}

// serveRequest stores the records of the request and returns a reply that carries
// records. The caller selects them beforehand, so that the reply does not return
// the records of the request to their sender.
func (s *session) serveRequest(now time.Time, req Message, records []Record) Message {
	s.put(now, req.Records)
	return Message{Records: records, Since: s.set.lastChange, Digest: s.set.Digest()}
}

// put stores records in the set.
func (s *session) put(now time.Time, records []Record) {
	for _, r := range records {
		s.set.Put(now, r)
	}
}

// finishExchange processes a reply. comparable is false when the set has changed
// since the request, so that the two digests cannot be compared.
func (s *session) finishExchange(now time.Time, reply Message) (comparable bool) {
	comparable = s.set.lastChange == s.requestChange
	s.put(now, reply.Records)
	s.ackedChange, s.peerChange = s.requestChange, reply.Since
	if comparable {
		// The records of the reply need not be sent back to the neighbour.
		s.ackedChange = s.set.lastChange
		s.inSync = s.set.Digest() == reply.Digest
	}
	return comparable
}

// fullPolicy sends every record in each exchange.
type fullPolicy struct{ session }

// NewFullPolicy returns a policy that sends every record in each exchange.
func NewFullPolicy(set *Set) Policy { return &fullPolicy{session{set: set}} }

func (p *fullPolicy) Request() Message { return p.newRequest(p.set.all()) }

func (p *fullPolicy) Serve(now time.Time, req Message) Message {
	return p.serveRequest(now, req, p.set.all())
}

func (p *fullPolicy) Finish(now time.Time, reply Message) { p.finishExchange(now, reply) }

// fullRetryInterval is the number of exchanges from one full exchange to the next
// while the sets stay different, as happens when one set has reached its limit.
const fullRetryInterval = 32

// deltaPolicy sends the changed records and one digest of the whole set.
type deltaPolicy struct {
	session
	// mismatches is the number of successive exchanges after which the digests
	// differed. After the first mismatch the policy sends all records of the change
	// log. After the second, and after every fullRetryInterval further mismatches,
	// it sends every record.
	mismatches int
}

// NewDeltaPolicy returns a policy that sends the changed records and one digest of
// the whole set. While the digests differ, it sends more records.
func NewDeltaPolicy(set *Set) Policy { return &deltaPolicy{session: session{set: set}} }

func (p *deltaPolicy) Request() Message {
	switch {
	case p.mismatches == 1:
		m := p.newRequest(p.set.recentChanges())
		m.Since -= min(m.Since, uint64(len(p.set.log)))
		return m
	case p.mismatches%fullRetryInterval == 2:
		m := p.newRequest(p.set.all())
		m.Full = true
		return m
	}
	return p.newRequest(p.set.changedSince(p.ackedChange))
}

func (p *deltaPolicy) Serve(now time.Time, req Message) Message {
	if req.Full {
		return p.serveRequest(now, req, p.set.all())
	}
	return p.serveRequest(now, req, p.set.changedSince(req.Since))
}

func (p *deltaPolicy) Finish(now time.Time, reply Message) {
	switch {
	case !p.finishExchange(now, reply):
	case p.inSync:
		p.mismatches = 0
	default:
		p.mismatches++
	}
}

// treePolicy sends the changed records and digests of a two-level tree. Where the
// digests differ, it sends the records of the differing leaves. In the paper of
// Wang et al. the leaves group RSVP sessions in sorted order, so that an insertion
// moves sessions between groups. Here the hash of a record's key selects the leaf,
// so that an insertion affects only one leaf.
type treePolicy struct {
	session
	// rootFirst selects that a request carries the digests of the upper level only
	// after the digests of the whole sets have differed.
	rootFirst bool
	// sendNodes is set when the last comparable exchange ended with different sets.
	sendNodes bool
	// leaves holds the leaves whose digests differed in the last reply, sorted.
	leaves []uint32
}

// NewTreePolicy returns a policy that sends the changed records and the digests of
// the upper level of the digest tree in each exchange, as in the paper of Wang et
// al.
func NewTreePolicy(set *Set) Policy { return &treePolicy{session: session{set: set}} }

// NewDeltaTreePolicy returns a policy that sends the changed records and one digest
// of the whole set. When the digests differ, it descends the digest tree to find
// the differing leaves.
func NewDeltaTreePolicy(set *Set) Policy {
	return &treePolicy{session: session{set: set}, rootFirst: true}
}

func (p *treePolicy) Request() Message {
	if len(p.leaves) > 0 {
		m := p.newRequest(append(p.set.changedSince(p.ackedChange), p.set.inLeaves(p.leaves)...))
		m.Leaves = p.leaves
		return m
	}
	m := p.newRequest(p.set.changedSince(p.ackedChange))
	if !p.rootFirst || p.sendNodes {
		for i, d := range p.set.nodes {
			m.Nodes = append(m.Nodes, NodeDigest{Index: uint32(i), Digest: d})
		}
	}
	return m
}

func (p *treePolicy) Serve(now time.Time, req Message) Message {
	own := p.set.changedSince(req.Since)
	if len(req.Leaves) > 0 {
		own = append(own, p.set.inLeaves(req.Leaves)...)
	}
	reply := p.serveRequest(now, req, own)
	for _, n := range req.Nodes {
		if n.Index < fanOut && p.set.nodes[n.Index] != n.Digest {
			reply.Nodes = append(reply.Nodes, p.childNodes(n.Index)...)
		}
	}
	return reply
}

// childNodes returns the digests of the leaves below a node of the upper level.
func (p *treePolicy) childNodes(node uint32) []NodeDigest {
	out := make([]NodeDigest, 0, fanOut)
	for i := node << fanOutBits; i < (node+1)<<fanOutBits; i++ {
		out = append(out, NodeDigest{Index: i, Digest: p.set.leaves[i]})
	}
	return out
}

func (p *treePolicy) Finish(now time.Time, reply Message) {
	if p.finishExchange(now, reply) {
		p.sendNodes = !p.inSync
	}
	p.leaves = nil
	for _, n := range reply.Nodes {
		if n.Index < leafCount && p.set.leaves[n.Index] != n.Digest {
			p.leaves = append(p.leaves, n.Index)
		}
	}
	slices.Sort(p.leaves)
}
