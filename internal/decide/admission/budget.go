package admission

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/retry"
)

const (
	// budgetSafetyFactor is the share of the common retry budget that the
	// instances use. The rest allows for instances that count requests
	// differently.
	budgetSafetyFactor = 0.7
	// assumedInstances is the number of instances that are assumed to share
	// retry budgets until the table of instances was read.
	assumedInstances = 100
)

// instanceCount returns the number of instances that share retry budgets.
func (s *Snapshot) instanceCount() int {
	if s.Instances == 0 {
		return assumedInstances
	}
	return s.Instances
}

// budget returns the retry budget of a service and creates it if needed.
func (m *Machine) budget(service string, now time.Time) *retry.Budget {
	b := m.budgets[service]
	if b == nil {
		b = retry.NewBudget(m.budgetShare(), now)
		m.budgets[service] = b
	}
	return b
}

// budgetShare returns this instance's share of the retry budget of a service.
func (m *Machine) budgetShare() retry.BudgetConfig {
	bounds := m.cfg.Bounds
	slack := budgetSafetyFactor * bounds.RetrySlack / float64(m.snapshot.instanceCount())
	return retry.BudgetConfig{
		Share:   budgetSafetyFactor * bounds.RetryRatio,
		MinRate: slack / 2 / bounds.RetryWindow.Seconds(),
		Burst:   max(1, slack/2),
	}
}
