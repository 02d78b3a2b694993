package platform

import (
	"math/rand/v2"
	"sync"
)

// Down is a way of being down.
type Down string

// Ways of being down. The zero value is up.
const (
	// DownRefuse refuses connections and cuts the open ones.
	DownRefuse Down = "refuse"
	// DownUnavailable answers 503 to every call; nothing is read or written.
	DownUnavailable Down = "unavailable"
)

// Faults is the body of POST /admin/faults; it replaces the faults in force.
// The zero value is a healthy platform.
type Faults struct {
	Down Down `json:"down,omitempty"`
	// DelayMS delays every call by so many milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// LoseReplies closes the connection of the next so many transactions after
	// their commit; LoseReplyShare does so to a share in [0,1] of all.
	LoseReplies    int     `json:"lose_replies,omitempty"`
	LoseReplyShare float64 `json:"lose_reply_share,omitempty"`
	// LoseRequests closes the connection of the next so many transactions
	// before their commit.
	LoseRequests int `json:"lose_requests,omitempty"`
	// FreezeList keeps the instance list as it is now.
	FreezeList bool `json:"freeze_list,omitempty"`
	// StaleVersions is how many versions behind the answers to reads of rows
	// are; StaleReads bounds it to the next so many reads, 0 means all.
	StaleVersions int `json:"stale_versions,omitempty"`
	StaleReads    int `json:"stale_reads,omitempty"`
}

// faultState holds the faults in force and counts down those bounded by a
// number of calls.
type faultState struct {
	mu     sync.Mutex
	faults Faults
	rng    *rand.Rand
	// endless is set when stale reads are not bounded by a number.
	endless bool
}

func newFaultState(seed uint64) *faultState {
	return &faultState{rng: rand.New(rand.NewPCG(seed, 0))}
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.endless = faults.StaleReads == 0
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// loseRequest reports whether this transaction is lost before its commit.
func (f *faultState) loseRequest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.LoseRequests == 0 {
		return false
	}
	f.faults.LoseRequests--
	return true
}

// loseReply reports whether the reply of this committed transaction is lost.
func (f *faultState) loseReply() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.LoseReplies > 0 {
		f.faults.LoseReplies--
		return true
	}
	return f.faults.LoseReplyShare > 0 && f.rng.Float64() < f.faults.LoseReplyShare
}

// staleBy returns how many versions behind the answer to this read is.
func (f *faultState) staleBy() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.StaleVersions == 0 || f.endless {
		return f.faults.StaleVersions
	}
	if f.faults.StaleReads == 0 {
		return 0
	}
	f.faults.StaleReads--
	return f.faults.StaleVersions
}
