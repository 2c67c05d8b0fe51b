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

	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

// Times of the library.
const (
	firstRetry = 150 * time.Millisecond
	mostRetry  = time.Second
	peerWait   = 600 * time.Millisecond
	// peersAsked is how many peers are asked each time that the origin does
	// not answer.
	peersAsked = 3
	// doubtEvery is how often a manifest that the origin's chunks do not fit
	// is looked at.
	doubtEvery = 250 * time.Millisecond
)

// Library gets the manifest of the wanted version: from the origin, and while
// that does not answer from peers that have read it. Set the exported fields
// before Run.
type Library struct {
	Self  *link.Self
	Clock clockwork.Clock
	Log   trail.Log
	Shelf *Shelf
	// Peers lists the other sides.
	Peers func() []netip.AddrPort
	// Read is told of each edition once its manifest is known.
	Read func(e *Edition)

	mu       sync.Mutex
	model    string
	versions []uint64
	changed  chan struct{}
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
	fails := 0
	for {
		model, versions, changed := l.wanted()
		pause := doubtEvery
		if l.obtainAll(ctx, model, versions) {
			fails = 0
		} else {
			bound := min(firstRetry<<min(fails, 8), mostRetry)
			pause = bound/2 + rand.N(bound/2)
			fails++
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			fails = 0
		case <-l.Clock.After(pause):
		}
	}
}

// obtainAll reports whether every wanted version is known now.
func (l *Library) obtainAll(ctx context.Context, model string, versions []uint64) bool {
	all := true
	for _, v := range versions {
		if !l.have(model, v) && !l.obtain(ctx, model, v) {
			all = false
		}
	}
	return all
}

func (l *Library) have(model string, version uint64) bool {
	_, ok := l.Shelf.Find(model, version)
	return ok && !l.Shelf.Doubtful()
}

func (l *Library) obtain(ctx context.Context, model string, version uint64) bool {
	m, err := l.Shelf.Origin.Manifest(ctx, model, version)
	from := "origin"
	if err != nil {
		l.note("manifestFailed", model, version, from, err.Error())
		m, from, err = l.fromPeers(ctx, model, version)
	}
	if err != nil {
		return false
	}
	e, err := l.Shelf.Add(m, model, version)
	if err != nil {
		l.note("manifestFailed", model, version, from, err.Error())
		return false
	}
	l.note("manifestRead", model, version, from, string(e.Digest))
	l.Read(e)
	return true
}

func (l *Library) note(action, model string, version uint64, from, reason string) {
	l.Log.Decide(trail.Decision{
		Area: trail.AreaTransfer, Action: action, Subject: model + "/" + strconv.FormatUint(version, 10),
		Choice: from, Reason: reason, Revision: l.Self.Revision.Load(),
	})
}

// ask asks a peer for the manifest of a version, and edition answers it.
type (
	ask struct {
		Model   string `msgpack:"model"`
		Version uint64 `msgpack:"version"`
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
	return link.Handler{Kinds: kinds(), Serve: func(_ context.Context, c *link.Conn) {
		if c.SetReadDeadline(time.Now().Add(peerWait)) != nil {
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
		if e, found := l.Shelf.Find(q.Model, q.Version); found {
			out.Known, out.Manifest = true, e.Manifest
		}
		// An answer that is lost counts at the peer as none.
		_ = c.Send(out)
	}}
}

var errNoPeer = errors.New("no peer has read the manifest")

func (l *Library) fromPeers(ctx context.Context, model string, version uint64) (chunk.Manifest, string, error) {
	peers := l.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, addr := range peers[:min(peersAsked, len(peers))] {
		m, err := l.askPeer(ctx, addr, model, version)
		if err == nil {
			return m, addr.String(), nil
		}
	}
	return chunk.Manifest{}, "", errNoPeer
}

func (l *Library) askPeer(ctx context.Context, addr netip.AddrPort, model string, version uint64) (chunk.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, peerWait)
	defer cancel()
	m, err := link.Ask(ctx, l.Self, addr, link.PurposeEditions, kinds(), &ask{Model: model, Version: version})
	if err != nil {
		return chunk.Manifest{}, err
	}
	e, ok := m.(*edition)
	if !ok || !e.Known {
		return chunk.Manifest{}, errNoPeer
	}
	return e.Manifest, nil
}
