package direct

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"hawthornferry/core/request/resend"
)

// latencyBuckets are the upper bounds of the histogram buckets. They are finest between
// a tenth and half a second, where the objectives lie.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	150 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond,
	500 * time.Millisecond, 750 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second,
}

// noRouteTag is the value of the tag "route" for requests that match no route.
const noRouteTag = "none"

// requestMetrics holds the metrics of requests.
type requestMetrics struct {
	scope      tally.Scope
	firstEvent tally.Histogram
	duration   tally.Histogram
	// counters caches each tally.Counter by its counterKey: for tally, looking a
	// counter up by its tags costs more than all other work of counting.
	counters *sync.Map
}

// counterKey identifies a counter by its name and tags. Tags that the counter does not
// have are empty, or noStatus.
type counterKey struct {
	name    string
	route   string
	service string
	outcome string
	reason  string
	// priority is that of the request in decimal digits.
	priority string
	status   int
}

func (k counterKey) tags() map[string]string {
	tags := map[string]string{}
	add := func(name, v string) {
		if v != "" {
			tags[name] = v
		}
	}
	add("route", k.route)
	add("service", k.service)
	add("outcome", k.outcome)
	add("reason", k.reason)
	add("priority", k.priority)
	if k.status >= 0 {
		tags["status"] = strconv.Itoa(k.status)
	}
	return tags
}

func newRequestMetrics(scope tally.Scope) requestMetrics {
	scope = scope.SubScope("requests")
	return requestMetrics{
		scope:      scope,
		firstEvent: scope.Histogram("first_event_seconds", latencyBuckets),
		duration:   scope.Histogram("duration_seconds", latencyBuckets),
		counters:   &sync.Map{},
	}
}

// noStatus is the status of counters without that tag.
const noStatus = -1

func (m requestMetrics) count(k counterKey) { m.add(k, 1) }

func (m requestMetrics) add(k counterKey, n int) {
	c, ok := m.counters.Load(k)
	if !ok {
		c, _ = m.counters.LoadOrStore(k, m.scope.Tagged(k.tags()).Counter(k.name))
	}
	if c, ok := c.(tally.Counter); ok {
		c.Inc(int64(n))
	}
}

// recordFirstEvent records the time to the first event of a stream.
func (m requestMetrics) recordFirstEvent(d time.Duration) { m.firstEvent.RecordDuration(d) }

// countRequest counts a request by its route, outcome and status, and records its
// duration.
func (m requestMetrics) countRequest(route, result string, status int, took time.Duration) {
	m.count(counterKey{name: "total", route: orDefault(route, noRouteTag), outcome: result, status: status})
	m.duration.RecordDuration(took)
}

// countLate counts a response that missed the route's objective.
func (m requestMetrics) countLate(route string) {
	m.count(counterKey{name: "late_total", route: orDefault(route, noRouteTag), status: noStatus})
}

// countErrorResponse counts a response of the entry's own by its reason and status.
func (m requestMetrics) countErrorResponse(reason string, status int) {
	m.count(counterKey{name: "own_answers_total", reason: reason, status: status})
}

// countBlocked counts a request that was refused because it may crash targets.
func (m requestMetrics) countBlocked(service string) {
	m.count(counterKey{name: "blocked_total", service: service, status: noStatus})
}

// countHeldBack counts a request that the admission level has refused.
func (m requestMetrics) countHeldBack(service string, priority int) {
	m.count(counterKey{name: "held_back_total", service: service, priority: strconv.Itoa(priority), status: noStatus})
}

// countAborted counts an attempt that the entry itself aborted.
func (m requestMetrics) countAborted(c endCause) {
	m.count(counterKey{name: "abandoned_total", reason: string(c), status: noStatus})
}

// countBrokenOff counts a response that was cut off in the middle, by why the attempt
// that had begun it ended.
func (m requestMetrics) countBrokenOff(c endCause) {
	m.count(counterKey{name: "broken_off_total", reason: string(c), status: noStatus})
}

// countRetries counts what becomes of retries. Those granted and neither arrived nor released
// may still reach a target.
func (m requestMetrics) countRetries(outcome string, n int) {
	m.add(counterKey{name: "retries_total", outcome: outcome, status: noStatus}, n)
}

// countNotice counts what targets say of themselves, by the action of their log lines.
func (m requestMetrics) countNotice(action string) {
	m.count(counterKey{name: "target_notices_total", reason: action, status: noStatus})
}

// countRateLimitChange counts the changes of the limits that targets name, by the action of
// their log lines.
func (m requestMetrics) countRateLimitChange(action string) {
	m.count(counterKey{name: "rate_limit_changes_total", reason: action, status: noStatus})
}

func (m requestMetrics) countAttempt(o resend.Outcome) {
	m.count(counterKey{name: "attempts_total", outcome: string(o), status: noStatus})
}
