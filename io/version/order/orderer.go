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

// Times of the orderer. The question must end well within roll.PermitLife.
const (
	stepEvery = 200 * time.Millisecond
	// restEvery is the same while the target serves what is wanted, and neither a new
	// view has come nor a change of the target been noticed.
	restEvery  = time.Second
	askTimeout = time.Second
)

// Target is the control interface of one engine.
type Target interface {
	// State returns what the engine serves and loads.
	State(ctx context.Context) (roll.Target, error)
	// Load orders the engine to load m, pinned by digest, under number. The
	// load goes on after the engine has accepted it.
	Load(ctx context.Context, number uint64, digest chunk.Digest, m chunk.Manifest) error
}

// Orderer brings one target to the version that the document names. Set the
// exported fields before Run.
type Orderer struct {
	Self  *link.Self
	Clock clockwork.Clock
	// Awake is a clock that also counts the time in which the machine was
	// suspended.
	Awake  func() time.Duration
	Log    trail.Log
	Source view.Source
	Engine Target
	// Verified returns the manifest that has the given digest once all of its
	// chunks are staged and verified.
	Verified func(chunk.Digest) (chunk.Manifest, bool)
	// Draining reports whether this process is shutting down.
	Draining func() bool
	// Deadline bounds when the target may begin to load; nil for no bound.
	Deadline func() roll.Deadline

	prepare sync.Once
	noticed chan struct{}

	mu      sync.Mutex
	machine roll.Machine
	facts   roll.Facts
	last    roll.Reason

	// whole and serving are what was last written down; Run alone uses them.
	whole   chunk.Digest
	serving chunk.Digest
}

func (o *Orderer) init() {
	o.prepare.Do(func() { o.noticed = make(chan struct{}, 1) })
}

// Notice tells that the target may have changed by itself.
func (o *Orderer) Notice() {
	o.init()
	select {
	case o.noticed <- struct{}{}:
	default:
	}
}

// Run steps until ctx ends.
func (o *Orderer) Run(ctx context.Context) error {
	o.init()
	for {
		changed := o.Source.Changed()
		o.step(ctx)
		if !o.rests() {
			changed = nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-o.noticed:
		case <-o.Clock.After(o.wait()):
		}
	}
}

// rests reports whether the target served what was wanted at the last step.
func (o *Orderer) rests() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.last == roll.ReasonServed
}

func (o *Orderer) wait() time.Duration {
	if o.rests() {
		return restEvery
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.machine.Wait(o.Clock.Now(), stepEvery)
}

// Target returns what the engine last reported and whether it answers.
func (o *Orderer) Target() (roll.Target, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.facts.Target, o.facts.TargetKnown
}

func (o *Orderer) step(ctx context.Context) {
	f, ok := o.gather(ctx)
	if !ok {
		return
	}
	o.mu.Lock()
	o.facts = f
	a := o.machine.Step(o.Clock.Now(), f)
	o.mu.Unlock()
	o.note(f)
	o.log(f, a)
	if a.Kind == roll.ActionAsk {
		a, f = o.ask(ctx, f)
		o.log(f, a)
	}
	if a.Kind == roll.ActionOrder {
		o.order(ctx, f, a)
	}
}

// gather reads anew all that a decision rests on.
func (o *Orderer) gather(ctx context.Context) (roll.Facts, bool) {
	want, ok := roll.Place(o.Source.Current(), o.Self.VM)
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
	_, f.Verified = o.Verified(want.Manifest)
	t, err := o.Engine.State(ctx)
	if err == nil {
		f.Target = t
		f.TargetKnown = true
	}
	f.At = o.Awake()
	return f, true
}

// ask puts the question to the replicas of the zone. Facts are gathered
// again after the answers, since a process may have slept meanwhile.
func (o *Orderer) ask(ctx context.Context, f roll.Facts) (roll.Action, roll.Facts) {
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := o.askAll(askCtx, f.Want.Service.Name, f.Want.Peers)
	again, ok := o.gather(ctx)
	if !ok {
		again = f
		again.TargetKnown = false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.facts = again
	return o.machine.Answered(o.Clock.Now(), again, answers), again
}

func (o *Orderer) order(ctx context.Context, f roll.Facts, a roll.Action) {
	m, ok := o.Verified(a.Manifest)
	if !ok {
		o.failed(f, "weights are no longer whole")
		return
	}
	if err := o.Engine.Load(ctx, a.Number, a.Manifest, m); err != nil {
		o.failed(f, err.Error())
	}
}

func (o *Orderer) failed(f roll.Facts, reason string) {
	o.mu.Lock()
	o.machine.Failed(o.Clock.Now(), f)
	o.mu.Unlock()
	o.Log.Decide(trail.Decision{
		Area:     trail.AreaPlacement,
		Action:   "loadFailed",
		Service:  f.Want.Service.Name,
		Subject:  string(f.Want.Manifest),
		Reason:   reason,
		Revision: f.Want.Revision,
	})
}

func (o *Orderer) status() roll.Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.machine.Status(o.Clock.Now(), o.facts)
	s.Name = o.Self.VM.Name
	return s
}

// note writes down that the wanted weights have become whole, and what the
// target has come to serve: replay holds the orders against both.
func (o *Orderer) note(f roll.Facts) {
	if f.Verified && o.whole != f.Want.Manifest {
		o.noteFact("verified", f.Want.Manifest, f)
	}
	o.whole = ""
	if f.Verified {
		o.whole = f.Want.Manifest
	}
	if f.TargetKnown && f.Target.Serving != o.serving {
		o.serving = f.Target.Serving
		o.noteFact("serves", f.Target.Serving, f)
	}
}

func (o *Orderer) noteFact(action string, d chunk.Digest, f roll.Facts) {
	o.Log.Decide(trail.Decision{
		Area:     trail.AreaPlacement,
		Action:   action,
		Service:  f.Want.Service.Name,
		Subject:  string(d),
		Choice:   o.Self.VM.Name,
		Revision: f.Want.Revision,
	})
}

// log writes a decision when it differs from the last one; a side that waits
// decides the same five times a second.
func (o *Orderer) log(f roll.Facts, a roll.Action) {
	o.mu.Lock()
	same := a.Kind == roll.ActionNone && a.Reason == o.last
	o.last = a.Reason
	o.mu.Unlock()
	if same {
		return
	}
	o.Log.Decide(trail.Decision{
		Area:     trail.AreaPlacement,
		Action:   string(a.Kind),
		Service:  f.Want.Service.Name,
		Subject:  string(f.Want.Manifest),
		Choice:   o.Self.VM.Name,
		Reason:   string(a.Reason),
		Revision: f.Want.Revision,
	})
}
