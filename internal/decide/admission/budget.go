package admission

import (
	"time"

	"github.com/banyandeal/banyandeal/internal/decide/retry"
)

const (
	// budgetShareFactor is the share of the retry ratio that the instances use
	// continuously, and budgetBurstFactor the share that they save up for the
	// window. The rest allows for instances that count requests differently.
	budgetShareFactor = 0.85
	budgetBurstFactor = 0.1
	// budgetSlackFactor is the share of the slack that the instances use, half of
	// it at once and half of it over the window.
	budgetSlackFactor = 0.7
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
	slack := budgetSlackFactor * bounds.RetrySlack / float64(m.snapshot.instanceCount())
	return retry.BudgetConfig{
		Share:      budgetShareFactor * bounds.RetryRatio,
		MinRate:    slack / 2 / bounds.RetryWindow.Seconds(),
		Burst:      max(1, slack/2),
		BurstShare: budgetBurstFactor * bounds.RetryRatio,
		Window:     bounds.RetryWindow,
	}
}
