package admit

// Parameters of the retry budget: the tokens that one call adds, the most that are kept,
// and those that a process has at its start, when its predecessor may just have used its own.
const (
	retryTokensPerCall = 0.1
	maxRetryTokens     = 10
	initialRetryTokens = 3
)

// retryBudget is a token bucket of retries. It is filled by calls and not by time, so
// that it allows retries in proportion to the load.
type retryBudget struct {
	tokens float64
}

func newRetryBudget() retryBudget { return retryBudget{tokens: initialRetryTokens} }

func (b *retryBudget) earn() { b.tokens = min(b.tokens+retryTokensPerCall, maxRetryTokens) }

func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
