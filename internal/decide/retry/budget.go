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
	// tokens is the number of available tokens, in [0, burst()].
	tokens float64
	// requests is the number of requests in about the last cfg.Window: each one decays with
	// that time constant.
	requests float64
	// refilledAt is the time up to which the tokens from cfg.MinRate were added and requests
	// has decayed.
	refilledAt time.Time
}

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Share is the number of tokens added per request, in [0,1].
	Share float64
	// MinRate is the number of tokens added per second regardless of traffic.
	// It allows a service with few requests to retry.
	MinRate float64
	// Burst is the maximum number of tokens without any requests. BurstShare is added to it
	// for each request of the last Window, so that the tokens of many requests are not lost
	// while none of them fails.
	Burst, BurstShare float64
	// Window is needed if BurstShare is set.
	Window time.Duration
}

// NewBudget returns a budget that holds cfg.Burst tokens.
func NewBudget(cfg BudgetConfig, now time.Time) *Budget {
	return &Budget{cfg: cfg, tokens: cfg.Burst, refilledAt: now}
}

// Reconfigure replaces the configuration and discards the tokens above the new
// Burst.
func (b *Budget) Reconfigure(cfg BudgetConfig) {
	b.cfg = cfg
	b.tokens = math.Min(b.tokens, b.burst())
}

// burst returns the maximum number of tokens.
func (b *Budget) burst() float64 { return b.cfg.Burst + b.cfg.BurstShare*b.requests }

// Deposit adds the tokens for one new request.
func (b *Budget) Deposit(now time.Time) {
	b.refill(now)
	b.requests++
	b.tokens = math.Min(b.burst(), b.tokens+b.cfg.Share)
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
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	if b.cfg.Window > 0 {
		b.requests *= math.Exp(-elapsed.Seconds() / b.cfg.Window.Seconds())
	}
	b.tokens = math.Min(b.burst(), b.tokens+elapsed.Seconds()*b.cfg.MinRate)
	b.refilledAt = now
}
