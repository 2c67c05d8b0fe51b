package admit

// Parts of a retry budget.
const (
	retryEarned = 0.1
	retryMax    = 10
)

// budget is a token bucket of retries. It is filled by calls and not by time,
// so that what it allows is a share of the load.
type budget struct {
	tokens float64
}

func newBudget() budget { return budget{tokens: retryMax} }

func (b *budget) earn() { b.tokens = min(b.tokens+retryEarned, retryMax) }

func (b *budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
