package relay

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/peers"
	"github.com/banyandeal/banyandeal/internal/edge/relay/relaypb"
	"github.com/banyandeal/banyandeal/platform"
)

// Findings holds which instances this one has found or was told to be gone. Its methods must be
// safe for concurrent use and must not block.
type Findings interface {
	// Findings returns those that this instance passes on.
	Findings() peers.Findings
	// Told records those of another instance.
	Told(instance string, f peers.Findings)
	// SourceDigest returns the digest of those that the source of the feeds passed on last.
	SourceDigest() uint64
	// SourceTold records those that the source of the feeds passes on.
	SourceTold(f peers.Findings)
	// SourceConfirmed records that the source of the feeds has none that are newer.
	SourceConfirmed()
}

// ShareFindings lets requests of this client, and replies of a server that is made of it, carry
// findings. It must be called before the first request.
func (c *Client) ShareFindings(f Findings) { c.findings = f }

// follow adds to a request for the operator's table, which is the most frequent one, that the
// asker follows the findings of the source.
func (c *Client) follow(request *relaypb.Ask) {
	if c.findings != nil && request.Table == platform.TableOperator {
		digest := c.findings.SourceDigest()
		request.FindingsDigest = &digest
	}
}

// followed records what the source has replied to a request that follows its findings.
func (c *Client) followed(request *relaypb.Ask, reply *relaypb.Reply) {
	switch {
	case request.FindingsDigest == nil:
	case reply.Findings != nil:
		c.findings.SourceTold(decodeFindings(reply.Findings))
	default:
		c.findings.SourceConfirmed()
	}
}

// newFindings returns the findings that the asker does not have yet, or nil.
func (s *Server) newFindings(request *relaypb.Ask) *relaypb.Findings {
	if s.client.findings == nil || request.FindingsDigest == nil {
		return nil
	}
	if f := s.client.findings.Findings(); f.Digest != *request.FindingsDigest {
		return encodeFindings(f)
	}
	return nil
}

// takeFindings records the findings that a request tells.
func (s *Server) takeFindings(request *relaypb.Ask) {
	if s.client.findings != nil && request.Findings != nil {
		s.client.findings.Told(request.Instance, decodeFindings(request.Findings))
	}
}

func encodeFindings(f peers.Findings) *relaypb.Findings {
	message := &relaypb.Findings{Digest: f.Digest}
	for _, one := range f.List {
		message.List = append(message.List, encodeFinding(one))
	}
	for _, s := range f.Suspected {
		message.Suspected = append(message.Suspected, &relaypb.Suspicion{
			Suspect: encodeFinding(s.Finding), AgeMs: uint32(s.Age.Milliseconds()), Observers: s.Observers,
		})
	}
	return message
}

func encodeFinding(f peers.Finding) *relaypb.Finding {
	return &relaypb.Finding{Name: f.Name, Incarnation: f.Incarnation, RowVersion: f.RowVersion}
}

func decodeFindings(message *relaypb.Findings) peers.Findings {
	f := peers.Findings{Digest: message.Digest}
	for _, one := range message.List {
		f.List = append(f.List, decodeFinding(one))
	}
	for _, s := range message.Suspected {
		f.Suspected = append(f.Suspected, peers.Suspicion{
			Finding: decodeFinding(s.Suspect), Age: time.Duration(s.AgeMs) * time.Millisecond, Observers: s.Observers,
		})
	}
	return f
}

// decodeFinding accepts nil, for which it returns a finding that names nobody.
func decodeFinding(message *relaypb.Finding) peers.Finding {
	return peers.Finding{Name: message.GetName(), Incarnation: message.GetIncarnation(), RowVersion: message.GetRowVersion()}
}
