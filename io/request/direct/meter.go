package direct

import (
	"strconv"
	"sync"
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

// noRoute is the tag of requests that match no route.
const noRoute = "none"

// meter holds the metrics of requests.
type meter struct {
	scope      tally.Scope
	firstEvent tally.Histogram
	whole      tally.Histogram
	// counters holds a tally.Counter by its counterKey: looking one up by its
	// tags costs the library more than the rest of counting.
	counters *sync.Map
}

// counterKey names a counter; tags that it has not are empty.
type counterKey struct {
	name    string
	route   string
	outcome string
	reason  string
	status  int
}

func (k counterKey) tags() map[string]string {
	tags := map[string]string{}
	add := func(name, v string) {
		if v != "" {
			tags[name] = v
		}
	}
	add("route", k.route)
	add("outcome", k.outcome)
	add("reason", k.reason)
	if k.status >= 0 {
		tags["status"] = strconv.Itoa(k.status)
	}
	return tags
}

func newMeter(scope tally.Scope) meter {
	scope = scope.SubScope("requests")
	return meter{
		scope:      scope,
		firstEvent: scope.Histogram("first_event_seconds", latencies),
		whole:      scope.Histogram("duration_seconds", latencies),
		counters:   &sync.Map{},
	}
}

// noStatus is the status of counters that have none.
const noStatus = -1

func (m meter) count(k counterKey) {
	c, ok := m.counters.Load(k)
	if !ok {
		c, _ = m.counters.LoadOrStore(k, m.scope.Tagged(k.tags()).Counter(k.name))
	}
	if c, ok := c.(tally.Counter); ok {
		c.Inc(1)
	}
}

func (m meter) first(d time.Duration) { m.firstEvent.RecordDuration(d) }

// ended counts a request by its route, how it ended and with which status.
func (m meter) ended(route, how string, status int, took time.Duration) {
	m.count(counterKey{name: "total", route: or(route, noRoute), outcome: how, status: status})
	m.whole.RecordDuration(took)
}

// late counts an answer that was passed on after its objective.
func (m meter) late(route string) {
	m.count(counterKey{name: "late_total", route: or(route, noRoute), status: noStatus})
}

// refused counts an answer of the entry's own by its reason.
func (m meter) refused(reason string, status int) {
	m.count(counterKey{name: "own_answers_total", reason: reason, status: status})
}

// abandoned counts an attempt that the entry ended itself.
func (m meter) abandoned(c cause) {
	m.count(counterKey{name: "abandoned_total", reason: string(c), status: noStatus})
}

// brokenOff counts an answer that was closed in the middle, by why the attempt that
// had begun it ended.
func (m meter) brokenOff(c cause) {
	m.count(counterKey{name: "broken_off_total", reason: string(c), status: noStatus})
}

// attempted counts an attempt by how it ended.
func (m meter) attempted(o resend.Outcome) {
	m.count(counterKey{name: "attempts_total", outcome: string(o), status: noStatus})
}
