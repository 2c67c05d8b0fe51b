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

func (o *Controller) init() {
	o.initOnce.Do(func() { o.targetChanged = make(chan struct{}, 1) })
}

// Recheck has Run take a step at once, since the target may have changed by itself.
func (o *Controller) Recheck() {
	o.init()
	select {
	case o.targetChanged <- struct{}{}:
	default:
	}
}

// Run takes a step at intervals and at each Recheck until ctx ends. While the target
// serves the wanted version it also does so at each change of the view.
func (o *Controller) Run(ctx context.Context) error {
	o.init()
	for {
		changed := o.Source.Changed()
		o.step(ctx)
		if !o.idle() {
			changed = nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-o.targetChanged:
		case <-o.Clock.After(o.stepDelay()):
		}
	}
}

// idle reports whether the target served the wanted version at the last step.
func (o *Controller) idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lastReason == roll.ReasonAlreadyServed
}

// stepDelay is how long Run waits for the next step.
func (o *Controller) stepDelay() time.Duration {
	if o.idle() {
		return idleInterval
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.machine.StepDelay(o.Clock.Now(), stepInterval)
}

// LastState returns what the engine last reported, and whether it answered the last time.
func (o *Controller) LastState() (roll.Target, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.facts.Target, o.facts.TargetKnown
}

// step reads the facts, has the machine decide on them and carries out the decision.
func (o *Controller) step(ctx context.Context) {
	f, ok := o.readFacts(ctx)
	if !ok {
		return
	}
	o.mu.Lock()
	o.facts = f
	a := o.machine.Step(o.Clock.Now(), f)
	o.mu.Unlock()
	o.logFacts(f)
	o.logAction(f, a)
	if a.Kind == roll.ActionAsk {
		a, f = o.askPeers(ctx, f)
		o.logAction(f, a)
	}
	if a.Kind == roll.ActionOrder {
		o.orderLoad(ctx, f, a)
	}
}

// readFacts reads everything that a decision depends on. It returns false if there is no
// document yet or it does not contain the service of this VM.
func (o *Controller) readFacts(ctx context.Context) (roll.Facts, bool) {
	want, ok := roll.WantOf(o.Source.Current(), o.Self.VM)
	if !ok {
		return roll.Facts{}, false
	}
	f := roll.Facts{Want: want, Draining: o.Draining()}
	if want.Manifest == "" {
		return f, true
	}
	if o.Deadline != nil {
		f.Deadline = o.Deadline()
	}
	_, f.WeightsVerified = o.VerifiedManifest(want.Manifest)
	t, err := o.Engine.State(ctx)
	if err == nil {
		f.Target = t
		f.TargetKnown = true
	}
	f.ReadAt = o.Uptime()
	return f, true
}

// askPeers asks the other replicas of the zone for their status and has the machine
// decide on the replies. The facts are read again after the replies, since the process
// may have been suspended meanwhile.
func (o *Controller) askPeers(ctx context.Context, f roll.Facts) (roll.Action, roll.Facts) {
	askCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	answers := o.requestStatuses(askCtx, f.Want.Service.Name, f.Want.Peers)
	updated, ok := o.readFacts(ctx)
	if !ok {
		updated = f
		updated.TargetKnown = false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.facts = updated
	return o.machine.AnswersReceived(o.Clock.Now(), updated, answers), updated
}

// orderLoad orders the engine to load, unless the weights are no longer verified.
func (o *Controller) orderLoad(ctx context.Context, f roll.Facts, a roll.Action) {
	m, ok := o.VerifiedManifest(a.Manifest)
	if !ok {
		o.loadFailed(f, "weights are no longer verified")
		return
	}
	if err := o.Engine.Load(ctx, a.Number, a.Manifest, m); err != nil {
		o.loadFailed(f, err.Error())
	}
}

// loadFailed tells the machine that an order failed, and logs it.
func (o *Controller) loadFailed(f roll.Facts, reason string) {
	o.mu.Lock()
	o.machine.LoadFailed(o.Clock.Now(), f)
	o.mu.Unlock()
	o.Log.Record(trail.Decision{
		Area:     trail.AreaPlacement,
		Action:   "loadFailed",
		Service:  f.Want.Service.Name,
		Subject:  string(f.Want.Manifest),
		Reason:   reason,
		Revision: f.Want.Revision,
	})
}

// replicaStatus returns this replica's status, for the other replicas.
func (o *Controller) replicaStatus() roll.Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.machine.Status(o.Clock.Now(), o.facts)
	s.Name = o.Self.VM.Name
	return s
}

// logFacts logs when the wanted weights become verified and when the target serves
// another version. The audit of the decision log checks the orders against both.
func (o *Controller) logFacts(f roll.Facts) {
	if f.WeightsVerified && o.loggedVerified != f.Want.Manifest {
		o.logFact("verified", f.Want.Manifest, f)
	}
	o.loggedVerified = ""
	if f.WeightsVerified {
		o.loggedVerified = f.Want.Manifest
	}
	if f.TargetKnown && f.Target.Serving != o.loggedServing {
		o.loggedServing = f.Target.Serving
		o.logFact("serves", f.Target.Serving, f)
	}
}

// logFact writes one such record to the decision log.
func (o *Controller) logFact(action string, d chunk.Digest, f roll.Facts) {
	o.Log.Record(trail.Decision{
		Area:     trail.AreaPlacement,
		Action:   action,
		Service:  f.Want.Service.Name,
		Subject:  string(d),
		Choice:   o.Self.VM.Name,
		Revision: f.Want.Revision,
	})
}

// logAction logs an action, unless it is none for the same reason as the last time: a
// side that waits decides that five times a second.
func (o *Controller) logAction(f roll.Facts, a roll.Action) {
	o.mu.Lock()
	same := a.Kind == roll.ActionNone && a.Reason == o.lastReason
	o.lastReason = a.Reason
	o.mu.Unlock()
	if same {
		return
	}
	o.Log.Record(trail.Decision{
		Area:     trail.AreaPlacement,
		Action:   string(a.Kind),
		Service:  f.Want.Service.Name,
		Subject:  string(f.Want.Manifest),
		Choice:   o.Self.VM.Name,
		Reason:   string(a.Reason),
		Revision: f.Want.Revision,
	})
}
