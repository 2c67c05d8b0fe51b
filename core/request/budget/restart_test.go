package budget

import (
	"math/rand/v2"
	"testing"
	"time"
)

// fleetModel is a fleet of entries that retry failed requests to one service, and whose
// processes end and start again.
type fleetModel struct {
	name    string
	entries int
	// added is how many more entries start for the first time halfway.
	added int
	// heardOf is the number of entries that each entry has heard of, 0 for none.
	heardOf int
	// perSecond is the rate of requests of all callers when a run begins, and at its end it
	// is lastShare times as high.
	perSecond float64
	lastShare float64
	limit     Budget
	// hold is the longest time for which targets stand still and read nothing.
	hold time.Duration
	// restartShares are the shares of the entries of which one at a time is restarted, on
	// average each restartEvery.
	restartShares []float64
	restartEvery  time.Duration
}

const (
	modelStep  = 50 * time.Millisecond
	modelSteps = 1200
	// maxDowntime is how long a process is away at most before it starts again.
	maxDowntime = 2 * time.Second
)

// modelEntry is one entry of a fleetModel. It is down while budget is nil.
type modelEntry struct {
	budget *Budget
	upAt   int
}

// arrival is a retry on its way to a target, sent by a process with the given budget.
type arrival struct {
	from  *modelEntry
	owner *Budget
}

// fleetRun is one run of a fleetModel. The slices due, requests and arrived are indexed by the
// step.
type fleetRun struct {
	fleetModel
	rand     *rand.Rand
	began    time.Time
	entries  []*modelEntry
	due      [][]arrival
	requests []int
	arrived  []int
	// failed and retried count the failed requests that an entry could retry, and
	// those that it did.
	failed, retried int
}

func (m fleetModel) play(seed uint64) *fleetRun {
	tail := int(m.hold/modelStep) + 2
	r := &fleetRun{
		fleetModel: m, rand: rand.New(rand.NewPCG(seed, 7)), began: time.Now(),
		due: make([][]arrival, modelSteps+tail), requests: make([]int, modelSteps), arrived: make([]int, modelSteps),
	}
	for range m.entries {
		r.entries = append(r.entries, &modelEntry{budget: r.newBudget(0)})
	}
	for range m.added {
		r.entries = append(r.entries, &modelEntry{})
	}
	failing, releaseAt := false, 0
	for at := range modelSteps {
		if r.rand.IntN(60) == 0 {
			failing = !failing
		}
		if m.hold > 0 && at >= releaseAt && r.rand.IntN(120) == 0 {
			releaseAt = at + r.rand.IntN(int(m.hold/modelStep))
		}
		r.restart(at)
		r.deliver(at)
		r.sendRequests(at, failing, releaseAt)
	}
	return r
}

// newBudget returns the budget of a process that starts at a step.
func (r *fleetRun) newBudget(at int) *Budget {
	b := r.limit
	b.Entries, b.StartedAt = r.heardOf, r.timeOf(at)
	return &b
}

func (r *fleetRun) timeOf(at int) time.Time { return r.began.Add(time.Duration(at) * modelStep) }

// present returns the entries that callers use at a step.
func (r *fleetRun) present(at int) []*modelEntry {
	if at < modelSteps/2 {
		return r.entries[:r.fleetModel.entries]
	}
	return r.entries
}

// restart ends some processes now and then, and starts those that have been down.
func (r *fleetRun) restart(at int) {
	for _, e := range r.present(at) {
		if e.budget == nil && at >= e.upAt {
			e.budget = r.newBudget(at)
		}
	}
	if len(r.restartShares) == 0 || r.rand.Float64() > float64(modelStep)/float64(r.restartEvery) {
		return
	}
	share := r.restartShares[r.rand.IntN(len(r.restartShares))]
	for _, e := range r.present(at) {
		if r.rand.Float64() < share {
			e.budget, e.upAt = nil, at+1+r.rand.IntN(int(maxDowntime/modelStep))
		}
	}
}

// deliver lets targets read the retries that are due, also those of processes that have
// ended since.
func (r *fleetRun) deliver(at int) {
	for _, a := range r.due[at] {
		r.arrived[at]++
		if a.from.budget == a.owner {
			a.owner.Arrived(r.timeOf(at), 1)
		}
	}
}

// sendRequests sends the requests of one step. Those to an entry that is down count for the
// operator, too.
func (r *fleetRun) sendRequests(at int, failing bool, releaseAt int) {
	progress := float64(at) / modelSteps
	rate := r.perSecond * (1 + progress*(r.lastShare-1))
	mean := rate * modelStep.Seconds()
	n := int(mean)
	if r.rand.Float64() < mean-float64(n) {
		n++
	}
	r.requests[at] = n
	present := r.present(at)
	for range n {
		e := present[r.rand.IntN(len(present))]
		if e.budget == nil {
			continue
		}
		e.budget.CountRequest(r.timeOf(at))
		if !failing {
			continue
		}
		r.failed++
		if e.budget.Reserve(r.timeOf(at)) {
			r.retried++
			arrives := max(at+1, releaseAt)
			r.due[arrives] = append(r.due[arrives], arrival{from: e, owner: e.budget})
		}
	}
}

// excess returns how many more retries arrive in the window before some step than the
// operator allows, at the worst, and that step. The operator counts the requests of the
// window, of the one before it or of the one half a window before it.
func (r *fleetRun) excess() (worst float64, at int) {
	n := int(r.limit.Window / modelStep)
	sums := make([]int, len(r.requests)+1)
	for i, v := range r.requests {
		sums[i+1] = sums[i] + v
	}
	within := func(end int) int { return sums[max(end, 0)] - sums[max(end-n, 0)] }
	worst = -1e9
	arrivals := 0
	for end := 1; end <= modelSteps; end++ {
		arrivals += r.arrived[end-1]
		if end > n {
			arrivals -= r.arrived[end-1-n]
		}
		most := max(within(end), within(end-n), within(end-n/2))
		if over := float64(arrivals) - r.limit.Ratio*float64(most) - r.limit.Slack; over > worst {
			worst, at = over, end
		}
	}
	return worst, at
}

var (
	wholeFleet = []float64{1}
	anyShare   = []float64{1, 1, 0.5, 0.1}
)

// Guards against granting a window's retries anew in a process that has just started. What
// its predecessor has used is not known to it, and still counts for the operator.
func TestArrivalsStayWithinBudgetWhenEntriesRestart(t *testing.T) {
	large := Budget{Ratio: 0.2, Slack: 134, Window: 10 * time.Second}
	tests := []fleetModel{
		{name: "no restarts", entries: 15, heardOf: 15, perSecond: 500, limit: large},
		{name: "restarts of the whole fleet", entries: 15, heardOf: 15, perSecond: 500, limit: large, restartShares: wholeFleet, restartEvery: 8 * time.Second},
		{name: "many restarts", entries: 15, heardOf: 15, perSecond: 500, limit: large, restartShares: anyShare, restartEvery: 2 * time.Second},
		{name: "one entry after the other", entries: 15, heardOf: 15, perSecond: 500, limit: large, restartShares: []float64{0.07}, restartEvery: 500 * time.Millisecond},
		{name: "rising load", entries: 15, heardOf: 15, perSecond: 200, lastShare: 4, limit: large, restartShares: anyShare, restartEvery: 4 * time.Second},
		{name: "falling load", entries: 15, heardOf: 15, perSecond: 800, lastShare: 0.1, limit: large, restartShares: anyShare, restartEvery: 4 * time.Second},
		{name: "targets that stand still", entries: 15, heardOf: 15, perSecond: 500, limit: large, hold: 6 * time.Second, restartShares: anyShare, restartEvery: 8 * time.Second},
		{name: "entries that hear of no others", entries: 20, perSecond: 500, limit: large, restartShares: anyShare, restartEvery: 4 * time.Second},
		{name: "added entries", entries: 10, added: 10, heardOf: 10, perSecond: 500, limit: large, restartShares: anyShare, restartEvery: 4 * time.Second},
		{name: "little traffic, much slack", entries: 3, heardOf: 3, perSecond: 40, limit: Budget{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}, restartShares: anyShare, restartEvery: 2 * time.Second},
		{name: "low ratio", entries: 4, heardOf: 4, perSecond: 120, limit: Budget{Ratio: 0.1, Slack: 20, Window: 10 * time.Second}, restartShares: anyShare, restartEvery: 3 * time.Second},
		{name: "no slack", entries: 30, heardOf: 30, perSecond: 900, limit: Budget{Ratio: 0.15, Window: 6 * time.Second}, restartShares: anyShare, restartEvery: 3 * time.Second},
		{name: "a large fleet", entries: 300, heardOf: 300, perSecond: 3000, limit: Budget{Ratio: 0.2, Slack: 400, Window: 10 * time.Second}, restartShares: anyShare, restartEvery: 5 * time.Second},
	}
	for _, m := range tests {
		if m.lastShare == 0 {
			m.lastShare = 1
		}
		t.Run(m.name, func(t *testing.T) {
			failed, retried := 0, 0
			for seed := range uint64(20) {
				r := m.play(seed)
				failed, retried = failed+r.failed, retried+r.retried
				if over, at := r.excess(); over > 0 {
					t.Errorf("seed %d: %.0f retries too many arrive in the window before %v", seed, over, time.Duration(at)*modelStep)
				}
			}
			if retried == 0 {
				t.Error("no failed request was retried")
			}
			t.Logf("retried %.3f of %d failed requests", float64(retried)/float64(failed), failed)
		})
	}
}
