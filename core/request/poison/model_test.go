package poison

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hawthornferry/core/request/resend"
)

// workload describes a simulation of callers whose requests crash no target, while
// targets crash and reset connections for other reasons. All entries share one
// ledger, so that failures add up as fast as possible.
type workload struct {
	name string
	// targets is the number of targets. A request lasts between short and long, and
	// rate requests arrive per second. The share hot of them repeats one of a
	// few fingerprints.
	targets     int
	short, long time.Duration
	rate        float64
	hot         float64
	// crashRate is the number of single target crashes per second. Every
	// massCrashInterval, the share massCrashShare of the targets crashes together.
	crashRate      float64
	massCrashShare float64
	// The share flakyShare of the targets resets the share resetShare of its
	// requests.
	flakyShare, resetShare float64
	// During the outage all targets reset all requests.
	outageStart, outageDuration time.Duration
	// noStartTimes is set if targets do not report when they started.
	noStartTimes bool
}

const (
	simulationStep    = 5 * time.Millisecond
	simulationTime    = time.Minute
	massCrashInterval = 10 * time.Second
	restartTime       = 1500 * time.Millisecond
	hotKeys           = 5
	retryDelay        = 300 * time.Millisecond
	// maxRetryAfter is the longest wait after which a refused caller still retries.
	maxRetryAfter = 2 * time.Second
	// maxCallerTries is how often a caller sends its request, each time under a new
	// ID.
	maxCallerTries = 3
)

// simulatedTarget is a target of the model. It accepts requests from upAt on.
type simulatedTarget struct {
	born time.Duration
	upAt time.Duration
}

// clientRequest is a caller's request with its current attempt.
type clientRequest struct {
	key         Fingerprint
	hot         bool
	tries       resend.AttemptTracker
	callerTries int
	target      int
	born        time.Duration
	began       time.Duration
	endsAt      time.Duration
	resetAt     time.Duration
	waitUntil   time.Duration
}

// result counts what the callers experienced.
type result struct {
	// refused counts refusals. lost counts the callers whose last try was refused.
	sent, refused, lost int
	lastLost            time.Duration
}

// simulation is a run of a workload.
type simulation struct {
	workload
	rnd     *rand.Rand
	ledger  Ledger
	targets []simulatedTarget
	active  []*clientRequest
	counts  result
	nextKey int
}

func (c workload) run(seed uint64) result {
	p := &simulation{workload: c, rnd: rand.New(rand.NewPCG(seed, 1)), targets: make([]simulatedTarget, c.targets)}
	for now := time.Duration(0); now < simulationTime; now += simulationStep {
		p.crash(now)
		p.arrive(now)
		p.advance(now)
		if now%time.Second == 0 {
			p.updateListing(now)
		}
	}
	return p.counts
}

// chance reports whether an event with the given rate per second happens in this
// step.
func (p *simulation) chance(rate float64) bool {
	return p.rnd.Float64() < rate*simulationStep.Seconds()
}

func (p *simulation) crash(now time.Duration) {
	end := func(i int) {
		if now >= p.targets[i].upAt {
			p.targets[i] = simulatedTarget{born: now + restartTime, upAt: now + restartTime}
		}
	}
	if p.chance(p.crashRate) {
		end(p.rnd.IntN(len(p.targets)))
	}
	if p.massCrashShare > 0 && now%massCrashInterval == 0 && now > 0 {
		for i := range p.targets {
			if p.rnd.Float64() < p.massCrashShare {
				end(i)
			}
		}
	}
}

func (p *simulation) arrive(now time.Duration) {
	for n := p.rate * simulationStep.Seconds(); n > 0; n-- {
		if n < 1 && p.rnd.Float64() > n {
			return
		}
		p.nextKey++
		x := &clientRequest{key: testKey(hotKeys + p.nextKey)}
		if p.rnd.Float64() < p.hot {
			x.key, x.hot = testKey(p.rnd.IntN(hotKeys)), true
		}
		p.counts.sent++
		p.send(now, x)
	}
}

// updateListing passes a listing of all targets that are up to the ledger.
func (p *simulation) updateListing(now time.Duration) {
	starts := map[Incarnation]bool{}
	for i, m := range p.targets {
		if now >= m.upAt {
			starts[p.startAt(i, m.born)] = true
		}
	}
	for _, k := range p.ledger.Subjects(epoch.Add(now)) {
		p.ledger.RecordListing(epoch.Add(now), k, starts)
	}
}

// send starts the next try of a caller.
func (p *simulation) send(now time.Duration, x *clientRequest) {
	x.callerTries++
	x.tries = resend.AttemptTracker{Repeatable: true, MaxAttempts: 2}
	p.attempt(now, x, -1)
}

// attempt sends a request to a target that is up and isn't avoid, unless the ledger
// blocks the request.
func (p *simulation) attempt(now time.Duration, x *clientRequest, avoid int) {
	choose := func() int { return p.rnd.IntN(len(p.targets)) }
	if wait, blocked := p.ledger.Blocked(epoch.Add(now), x.key); blocked {
		trial := p.ledger.Trial(epoch.Add(now), x.key).Starts
		if len(trial) == 0 {
			p.refuse(now, x, wait)
			return
		}
		choose = func() int { return slices.Index(p.starts(), trial[p.rnd.IntN(len(trial))]) }
	}
	for range 50 {
		i := choose()
		if i < 0 || i == avoid || now < p.targets[i].upAt {
			continue
		}
		x.target, x.born, x.began, x.waitUntil = i, p.targets[i].born, now, 0
		x.endsAt = now + p.short + time.Duration(p.rnd.Float64()*float64(p.long-p.short))
		x.resetAt = 0
		isGrey := i < int(p.flakyShare*float64(len(p.targets)))
		if isGrey && p.rnd.Float64() < p.resetShare || now >= p.outageStart && now < p.outageStart+p.outageDuration {
			x.resetAt = now + time.Duration(p.rnd.Float64()*float64(x.endsAt-now))
		}
		x.tries.Sent()
		p.active = append(p.active, x)
		return
	}
}

// refuse lets the caller retry after wait, or counts it as lost.
func (p *simulation) refuse(now time.Duration, x *clientRequest, wait time.Duration) {
	p.counts.refused++
	if x.callerTries < maxCallerTries && wait <= maxRetryAfter {
		x.waitUntil = now + wait
		p.active = append(p.active, x)
		return
	}
	p.counts.lost++
	p.counts.lastLost = now
}

func (p *simulation) advance(now time.Duration) {
	was := p.active
	p.active = nil
	for _, x := range was {
		switch {
		case x.waitUntil > 0 && now < x.waitUntil:
			p.active = append(p.active, x)
		case x.waitUntil > 0:
			p.send(now, x)
		case p.targets[x.target].born != x.born || x.resetAt > 0 && now >= x.resetAt:
			p.breakOff(now, x)
		case now >= x.endsAt:
			t := epoch.Add(now)
			p.ledger.RecordAnswer(t, epoch.Add(x.began), p.startOf(x))
			p.ledger.RecordSuccess(t, x.key)
		default:
			p.active = append(p.active, x)
		}
	}
}

func (p *simulation) startOf(x *clientRequest) Incarnation { return p.startAt(x.target, x.born) }

// starts returns the present start of each target.
func (p *simulation) starts() (out []Incarnation) {
	for i, m := range p.targets {
		out = append(out, p.startAt(i, m.born))
	}
	return out
}

func (p *simulation) startAt(target int, born time.Duration) Incarnation {
	if p.noStartTimes {
		return Incarnation{Target: string(rune('A' + target))}
	}
	return NewIncarnation(string(rune('A'+target)), epoch.Add(born))
}

func (p *simulation) breakOff(now time.Duration, x *clientRequest) {
	p.ledger.RecordFailure(epoch.Add(now), epoch.Add(x.began), x.key, p.startOf(x), now-x.began-p.short)
	switch {
	case x.tries.Ended(resend.Broken):
		p.attempt(now, x, x.target)
	case x.callerTries < maxCallerTries:
		x.waitUntil = now + retryDelay
		p.active = append(p.active, x)
	}
}

// All targets reset all requests for several seconds, so that no answer proves in
// time that they survived. Requests that many callers repeat are blocked then, and
// must be accepted again soon after the outage.
func TestHarmlessRequestsAreAcceptedAfterOutage(t *testing.T) {
	c := workload{
		targets: 9, short: 5 * time.Millisecond, long: 30 * time.Millisecond, rate: 120, hot: 0.8,
		outageStart: 10 * time.Second, outageDuration: 4 * time.Second,
	}
	for seed := range uint64(10) {
		r := c.run(seed)
		t.Logf("seed %d: %d callers, %d refusals, %d callers lost, the last at %s", seed, r.sent, r.refused, r.lost, r.lastLost)
		if most := c.outageStart + c.outageDuration + restartListingDelay + 2*time.Second; r.lastLost > most {
			t.Errorf("seed %d: last caller refused for good at %s, want at most %s", seed, r.lastLost, most)
		}
	}
}

// maxLostShare is the greatest share of callers whose requests may be refused for
// good.
const maxLostShare = 1.0 / 1000

// Guards against refusals of requests that crash nothing, when targets crash because
// of other requests, one by one or together, or reset connections without crashing.
// Requests that many callers repeat must not stay blocked once targets answer again.
func TestHarmlessRequestsAreRarelyRefused(t *testing.T) {
	engines := workload{targets: 20, short: 300 * time.Millisecond, long: 3 * time.Second, rate: 60}
	lookups := workload{targets: 9, short: 5 * time.Millisecond, long: 30 * time.Millisecond, rate: 120, hot: 0.8}
	with := func(c workload, name string, edit func(c *workload)) workload {
		c.name = name
		edit(&c)
		return c
	}
	tests := []workload{
		with(engines, "engines crash one after another", func(c *workload) { c.crashRate = 1.6 }),
		with(engines, "engines crash together", func(c *workload) { c.massCrashShare = 0.6 }),
		with(engines, "flaky engines", func(c *workload) { c.flakyShare, c.resetShare = 0.2, 0.4 }),
		with(lookups, "lookups, targets crash one after another", func(c *workload) { c.crashRate = 1 }),
		with(lookups, "lookups, targets crash together", func(c *workload) { c.massCrashShare = 0.6 }),
		with(lookups, "lookups, flaky targets", func(c *workload) { c.flakyShare, c.resetShare = 0.34, 0.4 }),
		with(lookups, "lookups, short outage", func(c *workload) { c.outageStart, c.outageDuration = 20*time.Second, 100*time.Millisecond }),
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var all result
			for seed := range uint64(10) {
				r := tc.run(seed)
				all.sent += r.sent
				all.refused += r.refused
				all.lost += r.lost
				all.lastLost = max(all.lastLost, r.lastLost)
			}
			t.Logf("%d callers, %d refusals, %d callers lost, the last at %s", all.sent, all.refused, all.lost, all.lastLost)
			if share := float64(all.lost) / float64(all.sent); share > maxLostShare {
				t.Errorf("%.5f of the callers were refused for good, want at most %.5f", share, maxLostShare)
			}
		})
	}
}

// Guards against callers of a small service that are refused for good after all of
// its targets have crashed together, although the targets are up again.
func TestOthersAreServedAfterAllTargetsCrashTogether(t *testing.T) {
	c := workload{
		targets: 3, short: 100 * time.Millisecond, long: 800 * time.Millisecond, rate: 20, hot: 0.8, massCrashShare: 1,
	}
	for seed := range uint64(10) {
		r := c.run(seed)
		t.Logf("seed %d: %d callers, %d refusals, %d callers lost, the last at %s", seed, r.sent, r.refused, r.lost, r.lastLost)
		if share := float64(r.lost) / float64(r.sent); share > maxLostShare {
			t.Errorf("seed %d: %.5f of the callers were refused for good, want at most %.5f", seed, share, maxLostShare)
		}
	}
}
