package retry

import (
	"math"
	"time"
)

// Budget is a token bucket that bounds further attempts to a share of the
// requests. A Budget is shared by the requests of one service at one instance
// and is not safe for concurrent use.
type Budget struct {
	cfg BudgetConfig
	// tokens is in [0, cfg.Burst].
	tokens float64
	// filled is the time up to which MinRate has been counted.
	filled time.Time
}

// BudgetConfig holds the settings of a Budget.
type BudgetConfig struct {
	// Share is the tokens that each request adds, in [0,1].
	Share float64
	// MinRate is the tokens per second that come with time, so that a quiet
	// service can retry at all.
	MinRate float64
	// Burst is the most tokens that are kept.
	Burst float64
}

// NewBudget returns a full budget.
func NewBudget(cfg BudgetConfig, now time.Time) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.Burst, filled: now}
}

// Reconfigure changes the settings; tokens above the new burst are lost.
func (b *Budget) Reconfigure(cfg BudgetConfig) {
	b.cfg = cfg
	b.tokens = math.Min(b.tokens, cfg.Burst)
}

// Deposit counts a new request.
func (b *Budget) Deposit(now time.Time) {
	b.fill(now)
	b.tokens = math.Min(b.cfg.Burst, b.tokens+b.cfg.Share)
}

// Take takes a token for a further attempt and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the tokens left.
func (b *Budget) Tokens() float64 { return b.tokens }

func (b *Budget) fill(now time.Time) {
	if passed := now.Sub(b.filled); passed > 0 {
		b.tokens = math.Min(b.cfg.Burst, b.tokens+passed.Seconds()*b.cfg.MinRate)
		b.filled = now
	}
}
