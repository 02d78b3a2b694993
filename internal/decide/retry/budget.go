package retry

import (
	"math"
	"time"
)

// Budget is a token bucket that limits retries and hedges to a share of the
// requests. All requests of one service on one instance share a Budget. It is
// not safe for concurrent use.
type Budget struct {
	cfg BudgetConfig
	// tokens is the number of available tokens, in [0, cfg.Burst].
	tokens float64
	// refilledAt is the time up to which the tokens from cfg.MinRate were added.
	refilledAt time.Time
}

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Share is the number of tokens added per request, in [0,1].
	Share float64
	// MinRate is the number of tokens added per second regardless of traffic.
	// It allows a service with few requests to retry.
	MinRate float64
	// Burst is the maximum number of tokens.
	Burst float64
}

// NewBudget returns a budget that holds cfg.Burst tokens.
func NewBudget(cfg BudgetConfig, now time.Time) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.Burst, refilledAt: now}
}

// Reconfigure replaces the configuration and discards the tokens above the new
// Burst.
func (b *Budget) Reconfigure(cfg BudgetConfig) {
	b.cfg = cfg
	b.tokens = math.Min(b.tokens, cfg.Burst)
}

// Deposit adds the tokens for one new request.
func (b *Budget) Deposit(now time.Time) {
	b.refill(now)
	b.tokens = math.Min(b.cfg.Burst, b.tokens+b.cfg.Share)
}

// Take consumes a token for one retry or hedge. It returns false if less than
// one token is available.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Tokens returns the number of available tokens.
func (b *Budget) Tokens() float64 { return b.tokens }

func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = math.Min(b.cfg.Burst, b.tokens+elapsed.Seconds()*b.cfg.MinRate)
		b.refilledAt = now
	}
}
