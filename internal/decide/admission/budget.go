package admission

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/retry"
)

const (
	// budgetPart is the part of the common retry budget that is used, the rest
	// allows for instances that count differently.
	budgetPart = 0.7
	// unknownInstances is how many instances are taken to share budgets and
	// paces until the members' table was read.
	unknownInstances = 100
)

// sharers returns the number of instances that share budgets and paces.
func (e *Snapshot) sharers() int {
	if e.Instances == 0 {
		return unknownInstances
	}
	return e.Instances
}

func (m *Machine) budget(service string, now time.Time) *retry.Budget {
	b := m.budgets[service]
	if b == nil {
		b = retry.NewBudget(m.budgetShare(), now)
		m.budgets[service] = b
	}
	return b
}

// budgetShare returns this instance's part of a service's budget for further
// attempts.
func (m *Machine) budgetShare() retry.BudgetConfig {
	bounds := m.cfg.Bounds
	slack := budgetPart * bounds.RetrySlack / float64(m.estate.sharers())
	return retry.BudgetConfig{
		Share:   budgetPart * bounds.RetryRatio,
		MinRate: slack / 2 / bounds.RetryWindow.Seconds(),
		Burst:   max(1, slack/2),
	}
}
