package direct

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"hawthornferry/core/request/resend"
)

// latencies are the bounds of the histograms, in seconds: objectives lie
// between a tenth and half a second.
var latencies = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	150 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond,
	500 * time.Millisecond, 750 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second,
}

// meter holds the metrics of requests.
type meter struct {
	scope      tally.Scope
	firstEvent tally.Histogram
	whole      tally.Histogram
}

func newMeter(scope tally.Scope) meter {
	scope = scope.SubScope("requests")
	return meter{
		scope:      scope,
		firstEvent: scope.Histogram("first_event_seconds", latencies),
		whole:      scope.Histogram("duration_seconds", latencies),
	}
}

func (m meter) first(d time.Duration) { m.firstEvent.RecordDuration(d) }

// ended counts a request by how it ended and with which status.
func (m meter) ended(how string, status int, took time.Duration) {
	tags := map[string]string{"outcome": how, "status": strconv.Itoa(status)}
	m.scope.Tagged(tags).Counter("total").Inc(1)
	m.whole.RecordDuration(took)
}

// refused counts an answer of the entry's own by its reason.
func (m meter) refused(reason string, status int) {
	tags := map[string]string{"reason": reason, "status": strconv.Itoa(status)}
	m.scope.Tagged(tags).Counter("own_answers_total").Inc(1)
}

// attempted counts an attempt by how it ended.
func (m meter) attempted(o resend.Outcome) {
	m.scope.Tagged(map[string]string{"outcome": string(o)}).Counter("attempts_total").Inc(1)
}
