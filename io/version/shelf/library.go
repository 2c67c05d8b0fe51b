package shelf

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/tree"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

// Times of the library.
const (
	firstRetry = 150 * time.Millisecond
	mostRetry  = 500 * time.Millisecond
	// peerWait is how long a peer may take to read the manifest itself before it
	// answers that it lacks it, and answerWait how long its answer may take.
	peerWait   = 400 * time.Millisecond
	answerWait = 600 * time.Millisecond
	// doubtEvery is how often a manifest that the origin's chunks do not fit
	// is looked at.
	doubtEvery = 250 * time.Millisecond
	// mostReadings bounds how often the origin is read until two answers agree.
	mostReadings = 4
)

// Library gets the manifests of the wanted versions: from the origin or from
// peers, as the tree of its region says. Set the exported fields before Run.
type Library struct {
	Self  *link.Self
	Clock clockwork.Clock
	Log   trail.Log
	Shelf *Shelf
	// Peers lists the other sides.
	Peers func() []fleet.VM
	// Read is told of each edition once its manifest is known. It must be safe for
	// concurrent use.
	Read func(e *Edition)

	mu       sync.Mutex
	model    string
	versions []uint64
	changed  chan struct{}
	// read is closed at the next manifest that is read.
	read chan struct{}
}

// Want names the versions that are wanted from now on, the first one first.
func (l *Library) Want(model string, versions []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.model == model && slices.Equal(l.versions, versions) {
		return
	}
	l.model, l.versions = model, versions
	if l.changed != nil {
		close(l.changed)
	}
	l.changed = make(chan struct{})
}

func (l *Library) wanted() (string, []uint64, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.model, l.versions, l.changed
}

// Run reads manifests until ctx ends.
func (l *Library) Run(ctx context.Context) error {
	tries := map[uint64]tree.Tries{}
	for {
		model, versions, changed := l.wanted()
		pause := doubtEvery
		if failed := l.obtainAll(ctx, model, versions, tries); failed > 0 {
			bound := min(firstRetry<<min(failed, 8), mostRetry)
			pause = bound/2 + rand.N(bound/2)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			clear(tries)
		case <-l.Clock.After(pause):
		}
	}
}

// obtainAll gets the wanted versions that are not known, all at the same time, and
// returns how often one of them has been tried in vain at the most.
func (l *Library) obtainAll(ctx context.Context, model string, versions []uint64, tries map[uint64]tree.Tries) int {
	after := make([]tree.Tries, len(versions))
	var wg sync.WaitGroup
	for i, v := range versions {
		if l.have(model, v) {
			continue
		}
		before := tries[v]
		wg.Go(func() { after[i] = l.obtain(ctx, model, v, before) })
	}
	wg.Wait()
	most := 0
	for i, v := range versions {
		tries[v] = after[i]
		most = max(most, after[i].Failed)
	}
	return most
}

func (l *Library) have(model string, version uint64) bool {
	_, ok := l.Shelf.Find(model, version)
	return ok && !l.Shelf.Doubtful()
}

// obtain tries once to get a manifest; it returns no tries when it has got it.
func (l *Library) obtain(ctx context.Context, model string, version uint64, tries tree.Tries) tree.Tries {
	plan := tree.At(key(model, version), l.Self.VM, l.Peers(), tries)
	if l.Shelf.Doubtful() {
		plan.Root, plan.Origin = true, true
	}
	m, from, silent, err := l.fetch(ctx, model, version, plan)
	if err == nil {
		err = l.keep(m, model, version, from)
	}
	if err == nil {
		return tree.Tries{}
	}
	l.note("manifestFailed", model, version, from, err.Error())
	tries.Failed++
	if silent {
		tries.Silent++
	}
	return tries
}

func (l *Library) keep(m chunk.Manifest, model string, version uint64, from string) error {
	e, err := l.Shelf.Add(m, model, version)
	if err != nil {
		return err
	}
	l.note("manifestRead", model, version, from, string(e.Digest))
	l.mu.Lock()
	if l.read != nil {
		close(l.read)
		l.read = nil
	}
	l.mu.Unlock()
	l.Read(e)
	return nil
}

// fromOrigin is the origin as the source of a manifest in the log.
const fromOrigin = "origin"

// fetch asks whom the plan names; silent tells that the side above did not answer.
func (l *Library) fetch(ctx context.Context, model string, version uint64, plan tree.Plan) (m chunk.Manifest, from string, silent bool, err error) {
	err = errNoPeer
	if plan.Root {
		if m, err = l.readOrigin(ctx, model, version); err == nil {
			return m, fromOrigin, false, nil
		}
	}
	for _, vm := range plan.Above {
		if m, err = l.askPeer(ctx, vm.Address, model, version, peerWait); err == nil {
			return m, vm.Name, false, nil
		}
		silent = !errors.Is(err, errNoPeer)
	}
	for _, vm := range plan.Other {
		if m, otherErr := l.askPeer(ctx, vm.Address, model, version, 0); otherErr == nil {
			return m, vm.Name, silent, nil
		}
	}
	if plan.Origin && !plan.Root {
		m, err = l.readOrigin(ctx, model, version)
	}
	return m, fromOrigin, silent, err
}

// readOrigin reads a manifest until two answers agree: one that is spoilt would be
// handed on to a part of the region, whose sides could trade with no others.
func (l *Library) readOrigin(ctx context.Context, model string, version uint64) (chunk.Manifest, error) {
	seen := map[chunk.Digest]bool{}
	for range mostReadings {
		m, err := l.Shelf.Origin.Manifest(ctx, model, version)
		if err != nil {
			return chunk.Manifest{}, err
		}
		raw, err := m.Encode()
		if err != nil {
			return chunk.Manifest{}, err
		}
		if d := chunk.Sum(raw); !seen[d] {
			seen[d] = true
			continue
		}
		return m, nil
	}
	return chunk.Manifest{}, fault.Newf("read manifest", fromOrigin, "no two of %d answers agree", mostReadings)
}

func key(model string, version uint64) string {
	return model + "/" + strconv.FormatUint(version, 10)
}

func (l *Library) note(action, model string, version uint64, from, reason string) {
	l.Log.Decide(trail.Decision{
		Area: trail.AreaTransfer, Action: action, Subject: key(model, version),
		Choice: from, Reason: reason, Revision: l.Self.Revision.Load(),
	})
}

// ask asks a peer for the manifest of a version, and edition answers it.
type (
	ask struct {
		Model   string `msgpack:"model"`
		Version uint64 `msgpack:"version"`
		// Wait is how long the peer may wait until it has read the manifest.
		Wait time.Duration `msgpack:"wait"`
	}
	edition struct {
		Known    bool           `msgpack:"known"`
		Manifest chunk.Manifest `msgpack:"manifest"`
	}
)

// Kind names the message.
func (*ask) Kind() frame.Kind { return "editionAsk" }

// Check reports the first field that is out of its domain.
func (a *ask) Check() error {
	if a.Model == "" || a.Version == 0 {
		return errors.New("editionAsk: model or version is missing")
	}
	if a.Wait < 0 || a.Wait > peerWait {
		return errors.Newf("editionAsk: wait %s, want 0 to %s", a.Wait, peerWait)
	}
	return nil
}

// Kind names the message.
func (*edition) Kind() frame.Kind { return "edition" }

// Check reports why the manifest does not add up.
func (e *edition) Check() error {
	if !e.Known {
		return nil
	}
	return e.Manifest.Check()
}

func kinds() frame.Kinds {
	k := frame.Kinds{}
	k.Register(func() frame.Message { return &ask{} })
	k.Register(func() frame.Message { return &edition{} })
	return k
}

// Handler answers peers that ask.
func (l *Library) Handler() link.Handler {
	return link.Handler{Kinds: kinds(), Serve: func(ctx context.Context, c *link.Conn) {
		if c.SetReadDeadline(time.Now().Add(answerWait)) != nil {
			return
		}
		m, err := c.Receive()
		if err != nil {
			return
		}
		q, ok := m.(*ask)
		if !ok {
			return
		}
		out := &edition{}
		if e, found := l.await(ctx, q); found {
			out.Known, out.Manifest = true, e.Manifest
		}
		// An answer that is lost counts at the peer as none.
		_ = c.Send(out)
	}}
}

// await returns an edition once its manifest is read, or nothing when the asker's
// wait is over.
func (l *Library) await(ctx context.Context, q *ask) (*Edition, bool) {
	over := l.Clock.After(q.Wait)
	for {
		read := l.nextRead()
		if e, found := l.Shelf.Find(q.Model, q.Version); found || q.Wait == 0 {
			return e, found
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-over:
			return nil, false
		case <-read:
		}
	}
}

func (l *Library) nextRead() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.read == nil {
		l.read = make(chan struct{})
	}
	return l.read
}

var errNoPeer = errors.New("the peer has not read the manifest")

func (l *Library) askPeer(ctx context.Context, addr netip.AddrPort, model string, version uint64, wait time.Duration) (chunk.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerWait)
	defer cancel()
	m, err := link.Ask(ctx, l.Self, addr, link.PurposeEditions, kinds(), &ask{Model: model, Version: version, Wait: wait})
	if err != nil {
		return chunk.Manifest{}, err
	}
	e, ok := m.(*edition)
	if !ok || !e.Known {
		return chunk.Manifest{}, fault.At("ask for manifest", addr.String(), errNoPeer)
	}
	return e.Manifest, nil
}
