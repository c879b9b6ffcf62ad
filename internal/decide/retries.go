package decide

import "github.com/stoatramp/stoatramp/internal/retry"

// RetryBudget returns the retry budget of the core's streams. It may be used concurrently with the core.
func (c *Core) RetryBudget() *retry.Budget { return &c.budget }

// HasRepeatable reports whether a request that runs on engines may run again if its call is lost.
func (c *Core) HasRepeatable() bool {
	for _, f := range c.flights {
		if f.Repeatable && (f.stage == prefilling || f.stage == transferring || f.stage == streaming && f.Resumable) {
			return true
		}
	}
	return false
}
