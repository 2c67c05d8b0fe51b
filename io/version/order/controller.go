package order

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/trail"
	"hawthornferry/core/process/view"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/roll"
	"hawthornferry/io/conn/link"
)

// Intervals and limits of the Controller.
const (
	// stepInterval is the longest delay between two steps while the target does not
	// serve the wanted version.
	stepInterval = 200 * time.Millisecond
	// idleInterval is the delay between two steps while the target serves the wanted
	// version, unless a new view arrives or Recheck is called earlier.
	idleInterval = time.Second
	// statusTimeout bounds the status requests to all peers. It must be well below
	// roll.PermitLifetime, for which the replies permit a load.
	statusTimeout = time.Second
)

// EngineControl is the control interface of one engine. EngineClient and adapt.Adapter
// implement it.
type EngineControl interface {
	// State returns what the engine serves and loads.
	State(ctx context.Context) (roll.Target, error)
	// Load orders the engine to load the version with manifest m, whose digest is
	// digest, under number. It returns once the engine has accepted the order; the load
	// itself goes on.
	Load(ctx context.Context, number uint64, digest chunk.Digest, m chunk.Manifest) error
}

// Controller has one target load the version that the configuration document names. Set the
// exported fields before Run.
type Controller struct {
	Self  *link.Self
	Clock clockwork.Clock
	// Uptime is a clock that also counts the time in which the machine was suspended.
	Uptime func() time.Duration
	Log    trail.Log
	Source view.Source
	Engine EngineControl
	// VerifiedManifest returns the manifest with the given digest if all of its chunks are
	// staged and verified.
	VerifiedManifest func(chunk.Digest) (chunk.Manifest, bool)
	// Draining reports whether this process is shutting down.
	Draining func() bool
	// Deadline returns the time by which the target must begin to load; nil for no such
	// time.
	Deadline func() roll.Deadline

	initOnce sync.Once
	// targetChanged holds a value after Recheck until Run receives it.
	targetChanged chan struct{}

	mu      sync.Mutex
	machine roll.Machine
	facts   roll.Facts
	// lastReason is the reason of the last action.
	lastReason roll.Reason

	// loggedVerified is the manifest last logged as verified, as long as it is wanted
	// and verified, and loggedServing the one last logged as served. Only Run uses them.
	loggedVerified chunk.Digest
	loggedServing  chunk.Digest
}

func (c *Controller) init() {
	c.initOnce.Do(func() { c.targetChanged = make(chan struct{}, 1) })
}

// Recheck has Run take a step at once, since the target may have changed by itself.
func (c *Controller) Recheck() {
	c.init()
	select {
	case c.targetChanged <- struct{}{}:
	default:
	}
}

// Run takes a step at intervals and at each Recheck until ctx ends. While the target
// serves the wanted version it also does so at each change of the view.
func (c *Controller) Run(ctx context.Context) error {
	c.init()
	for {
		changed := c.Source.Changed()
		c.step(ctx)
		if !c.idle() {
			changed = nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-c.targetChanged:
		case <-c.Clock.After(c.stepDelay()):
		}
	}
}

// idle reports whether the target served the wanted version at the last step.
func (c *Controller) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReason == roll.ReasonAlreadyServed
}

// stepDelay is how long Run waits for the next step.
func (c *Controller) stepDelay() time.Duration {
	if c.idle() {
		return idleInterval
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.StepDelay(c.Clock.Now(), stepInterval)
}

// LastState returns what the engine last reported, and whether it answered the last time.
func (c *Controller) LastState() (roll.Target, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.facts.Target, c.facts.TargetKnown
}

// step reads the facts, has the machine decide on them and carries out the decision.
func (c *Controller) step(ctx context.Context) {
	f, ok := c.readFacts(ctx)
	if !ok {
		return
	}
	c.mu.Lock()
	c.facts = f
	a := c.machine.Step(c.Clock.Now(), f)
	c.mu.Unlock()
	c.logFacts(f)
	c.logAction(f, a)
	if a.Kind == roll.ActionAsk {
		a, f = c.askPeers(ctx, f)
		c.logAction(f, a)
	}
	if a.Kind == roll.ActionOrder {
		c.orderLoad(ctx, f, a)
	}
}

// readFacts reads everything that a decision depends on. It returns false if there is no
// document yet or it does not contain the service of this VM.
func (c *Controller) readFacts(ctx context.Context) (roll.Facts, bool) {
	want, ok := roll.WantOf(c.Source.Current(), c.Self.VM)
	if !ok {
		return roll.Facts{}, false
	}
	f := roll.Facts{Want: want, Draining: c.Draining()}
	if want.Manifest == "" {
		return f, true
	}
	if c.Deadline != nil {
		f.Deadline = c.Deadline()
	}
	_, f.WeightsVerified = c.VerifiedManifest(want.Manifest)
	t, err := c.Engine.State(ctx)
	if err == nil {
		f.Target = t
		f.TargetKnown = true
	}
	f.ReadAt = c.Uptime()
	return f, true
}

// askPeers asks the other replicas of the zone for their status and has the machine
// decide on the replies. The facts are read again after the replies, since the process
// may have been suspended meanwhile.
func (c *Controller) askPeers(ctx context.Context, f roll.Facts) (roll.Action, roll.Facts) {
	askCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answers := c.requestStatuses(askCtx, f.Want.Service.Name, f.Want.Peers)
	updated, ok := c.readFacts(ctx)
	if !ok {
		updated = f
		updated.TargetKnown = false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.facts = updated
	return c.machine.AnswersReceived(c.Clock.Now(), updated, answers), updated
}

// orderLoad orders the engine to load, unless the weights are no longer verified.
func (c *Controller) orderLoad(ctx context.Context, f roll.Facts, a roll.Action) {
	m, ok := c.VerifiedManifest(a.Manifest)
	if !ok {
		c.loadFailed(f, "weights are no longer verified")
		return
	}
	if err := c.Engine.Load(ctx, a.Number, a.Manifest, m); err != nil {
		c.loadFailed(f, err.Error())
	}
}

// loadFailed tells the machine that an order failed, and logs it.
func (c *Controller) loadFailed(f roll.Facts, reason string) {
	c.mu.Lock()
	c.machine.LoadFailed(c.Clock.Now(), f)
	c.mu.Unlock()
	c.Log.Record(trail.Decision{
		Area:     trail.AreaPlacement,
		Action:   "loadFailed",
		Service:  f.Want.Service.Name,
		Subject:  string(f.Want.Manifest),
		Reason:   reason,
		Revision: f.Want.Revision,
	})
}

// replicaStatus returns this replica's status, for the other replicas.
func (c *Controller) replicaStatus() roll.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.machine.Status(c.Clock.Now(), c.facts)
	s.Name = c.Self.VM.Name
	return s
}

// logFacts logs when the wanted weights become verified and when the target serves
// another version. The audit of the decision log checks the orders against both.
func (c *Controller) logFacts(f roll.Facts) {
	if f.WeightsVerified && c.loggedVerified != f.Want.Manifest {
		c.logFact("verified", f.Want.Manifest, f)
	}
	c.loggedVerified = ""
	if f.WeightsVerified {
		c.loggedVerified = f.Want.Manifest
	}
	if f.TargetKnown && f.Target.Serving != c.loggedServing {
		c.loggedServing = f.Target.Serving
		c.logFact("serves", f.Target.Serving, f)
	}
}

// logFact writes one such record to the decision log.
func (c *Controller) logFact(action string, d chunk.Digest, f roll.Facts) {
	c.Log.Record(trail.Decision{
		Area:     trail.AreaPlacement,
		Action:   action,
		Service:  f.Want.Service.Name,
		Subject:  string(d),
		Choice:   c.Self.VM.Name,
		Revision: f.Want.Revision,
	})
}

// logAction logs an action, unless it is none for the same reason as the last time: a
// side that waits decides that five times a second.
func (c *Controller) logAction(f roll.Facts, a roll.Action) {
	c.mu.Lock()
	same := a.Kind == roll.ActionNone && a.Reason == c.lastReason
	c.lastReason = a.Reason
	c.mu.Unlock()
	if same {
		return
	}
	c.Log.Record(trail.Decision{
		Area:     trail.AreaPlacement,
		Action:   string(a.Kind),
		Service:  f.Want.Service.Name,
		Subject:  string(f.Want.Manifest),
		Choice:   c.Self.VM.Name,
		Reason:   string(a.Reason),
		Revision: f.Want.Revision,
	})
}
