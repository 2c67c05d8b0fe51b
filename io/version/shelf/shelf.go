// Package shelf fits engines that keep weights by number, and origins that
// name them so, to the distribution of chunks by digest. It keeps the
// verified chunks of the version on its way in memory, since what lies at the
// engine may be spoilt after it was staged.
package shelf

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
	"hawthornferry/core/version/roll"
)

// Report is what an engine tells of itself. Serving is 0 while it lacks
// weights; Born names its start and Orders counts those it has taken since.
type Report struct {
	Model   string
	Serving uint64
	Loading bool
	Born    time.Time
	Orders  uint64
	Active  int
	Queued  int
	Pace    float64
}

// Engine is an engine that keeps the chunks of a model by their numbers, one
// of each. Begin orders it to load what it keeps as the given version;
// Orders is how many orders it must have taken before.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	Held(ctx context.Context, model string) ([]int, error)
	Put(ctx context.Context, model string, num int, b []byte) error
	Get(ctx context.Context, model string, num int) ([]byte, error)
	Begin(ctx context.Context, model string, version, orders uint64) error
}

// Origin is where versions are drawn from. Manifest lists the chunks of a
// version.
type Origin interface {
	Manifest(ctx context.Context, model string, version uint64) (chunk.Manifest, error)
	Piece(ctx context.Context, model string, version uint64, num int, size int64, progress func(n int)) ([]byte, error)
}

// Times and counts of the shelf.
const (
	// drawTimeout bounds one chunk from the origin: half a hundred sides may
	// share a link on which it takes tens of milliseconds alone.
	drawTimeout = 3 * time.Second
	// startWait bounds the wait for an engine that starts beside its side, and
	// startRetry parts the tries.
	startWait  = 4 * time.Second
	startRetry = 50 * time.Millisecond
	// spoiltDraws is how many chunks may come spoilt from the origin before
	// its manifest is taken for the spoilt one.
	spoiltDraws = 12
)

// Edition is one version of a model whose manifest is known.
type Edition struct {
	Model    string
	Version  uint64
	Digest   chunk.Digest
	Manifest chunk.Manifest
	raw      []byte
}

// Shelf holds the editions. Set the exported fields before the first call.
type Shelf struct {
	Clock  clockwork.Clock
	Log    trail.Log
	Engine Engine
	Origin Origin
	// Awake is a clock that also counts the time in which the machine was
	// suspended; a chunk may turn bad in that time. Nil stands for awake.Now.
	Awake func() time.Duration
	// Loading, when set, is told before an order is given and after.
	Loading func(bool)

	// staging is held while what lies at the engine must not change: an engine
	// that is ordered to load takes what lies there when it accepts the order.
	staging sync.Mutex
	// settled is set while no order can be on its way; staging guards it. A
	// process that starts does not know what the one before it ordered.
	settled bool

	mu       sync.Mutex
	editions []*Edition
	chunks   map[chunk.Digest][]byte
	spoilt   int
}

// maxEditions bounds the versions remembered: the one served, the one on its
// way and the one named while that was under way.
const maxEditions = 4

// Add takes the manifest of a version and returns its edition.
func (s *Shelf) Add(m chunk.Manifest, model string, version uint64) (*Edition, error) {
	raw, err := m.Encode()
	if err != nil {
		return nil, err
	}
	e := &Edition{Model: model, Version: version, Digest: chunk.Sum(raw), Manifest: m, raw: raw}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spoilt = 0
	kept := s.editions[:0]
	for _, old := range s.editions {
		if old.Model != model || old.Version != version {
			kept = append(kept, old)
		}
	}
	s.editions = append(kept, e)
	slices.SortFunc(s.editions, func(a, b *Edition) int { return cmp.Compare(a.Version, b.Version) })
	if len(s.editions) > maxEditions {
		s.editions = s.editions[1:]
	}
	return e, nil
}

// Find returns the edition of a version.
func (s *Shelf) Find(model string, version uint64) (*Edition, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.editions {
		if e.Model == model && e.Version == version {
			return e, true
		}
	}
	return nil, false
}

// Doubtful reports whether the origin's chunks do not fit the manifests.
func (s *Shelf) Doubtful() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spoilt >= spoiltDraws
}

// place is where a chunk belongs.
type place struct {
	model   string
	version uint64
	num     int
	size    int64
}

// placesOf returns where a chunk belongs in the latest edition that has it;
// a version may have the same bytes at several numbers.
func (s *Shelf) placesOf(d chunk.Digest) []place {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.editions) - 1; i >= 0; i-- {
		var out []place
		e := s.editions[i]
		for num, ref := range e.Manifest.Chunks {
			if ref.Digest == d {
				out = append(out, place{model: e.Model, version: e.Version, num: num, size: ref.Size})
			}
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

// errUnknown is returned for a chunk of no known version.
var errUnknown = errors.New("no known version has the chunk")

// Manifest returns a manifest that was added.
func (s *Shelf) Manifest(_ context.Context, d chunk.Digest) (chunk.Manifest, []byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.editions {
		if e.Digest == d {
			return e.Manifest, e.raw, nil
		}
	}
	return chunk.Manifest{}, nil, fault.Newf("find manifest", "", "%s was not read", d)
}

// Chunk draws a chunk from the origin.
func (s *Shelf) Chunk(ctx context.Context, ref chunk.Ref, progress func(n int)) ([]byte, error) {
	places := s.placesOf(ref.Digest)
	if len(places) == 0 {
		return nil, fault.At("draw chunk", "origin", errUnknown)
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	p := places[0]
	b, err := s.Origin.Piece(ctx, p.model, p.version, p.num, ref.Size, progress)
	if err != nil {
		return nil, fault.At("draw chunk", "origin", err)
	}
	if got := chunk.Sum(b); got != ref.Digest {
		s.mu.Lock()
		s.spoilt++
		s.mu.Unlock()
		return nil, fault.Newf("verify chunk", "origin", "digest %s, want %s", got, ref.Digest)
	}
	return b, nil
}

// List returns the chunks of the latest edition whose numbers the engine
// keeps. What lies there may be of another version: Get verifies it.
func (s *Shelf) List(ctx context.Context) ([]chunk.Digest, error) {
	s.mu.Lock()
	if len(s.editions) == 0 {
		s.mu.Unlock()
		return nil, nil
	}
	e := s.editions[len(s.editions)-1]
	s.mu.Unlock()
	held, err := s.held(ctx, e.Model)
	if err != nil {
		return nil, err
	}
	var out []chunk.Digest
	for _, num := range held {
		if num >= 0 && num < len(e.Manifest.Chunks) {
			out = append(out, e.Manifest.Chunks[num].Digest)
		}
	}
	return out, nil
}

// Put keeps a verified chunk and hands it to the engine when it is of the
// newest edition. An engine that does not take it now gets it before it is
// ordered to load: the chunk is at hand here and need not be fetched again.
func (s *Shelf) Put(ctx context.Context, d chunk.Digest, b []byte) error {
	places := s.placesOf(d)
	if len(places) == 0 {
		return fault.At("stage chunk", "engine", errUnknown)
	}
	s.remember(d, b)
	if !s.staging.TryLock() {
		// An order is being given; the chunk is put there before its own.
		return nil
	}
	defer s.staging.Unlock()
	for _, p := range places {
		if !s.isNewest(p) {
			return nil
		}
		if err := s.stage(ctx, p, b); err != nil {
			s.Log.Decide(trail.Decision{
				Area: trail.AreaTransfer, Action: "stageLater", Subject: string(d),
				Choice: strconv.Itoa(p.num), Reason: err.Error(),
			})
		}
	}
	return nil
}

// stage hands a chunk to the engine unless an order may be on its way there,
// which would load it among those of another version.
func (s *Shelf) stage(ctx context.Context, p place, b []byte) error {
	if err := s.ask(ctx); err != nil {
		return err
	}
	return s.Engine.Put(ctx, p.model, p.num, b)
}

func (s *Shelf) isNewest(p place) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.editions[len(s.editions)-1].Version == p.version
}

// held waits for an engine that has not started yet. Taken for empty, it would
// have every side of a fleet that starts fetch what lies beside it.
func (s *Shelf) held(ctx context.Context, model string) ([]int, error) {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	for {
		nums, err := s.Engine.Held(ctx, model)
		if err == nil || ctx.Err() != nil {
			return nums, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-s.Clock.After(startRetry):
		}
	}
}

func (s *Shelf) remember(d chunk.Digest, b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.chunks == nil {
		s.chunks = map[chunk.Digest][]byte{}
	}
	s.chunks[d] = b
}

func (s *Shelf) remembered(d chunk.Digest) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.chunks[d]
	return b, ok
}

// Get returns a chunk that is kept here or, whole, at the engine.
func (s *Shelf) Get(ctx context.Context, d chunk.Digest) ([]byte, error) {
	if b, ok := s.remembered(d); ok {
		return b, nil
	}
	places := s.placesOf(d)
	if len(places) == 0 {
		return nil, fault.At("read chunk", "engine", errUnknown)
	}
	b, err := s.Engine.Get(ctx, places[0].model, places[0].num)
	if err != nil {
		return nil, err
	}
	if got := chunk.Sum(b); got != d {
		return nil, fault.Newf("read chunk", "engine", "digest %s, want %s", got, d)
	}
	s.remember(d, b)
	return b, nil
}

// Delete forgets a chunk; its place at the engine is overwritten by the next
// version.
func (s *Shelf) Delete(_ context.Context, d chunk.Digest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.chunks, d)
	return nil
}

// State reports what the engine serves, in the terms of load orders.
func (s *Shelf) State(ctx context.Context) (roll.Target, error) {
	r, err := s.Engine.Report(ctx)
	if err != nil {
		return roll.Target{}, err
	}
	t := roll.Target{Boot: bootOf(r.Born), LastOrder: r.Orders}
	if r.Serving > 0 {
		t.Serving = s.digestOf(r.Model, r.Serving)
	}
	if r.Loading {
		t.Loading = loadingUnknown
	}
	return t, nil
}

// bootOf names one start of an engine, empty when it does not tell.
func bootOf(born time.Time) string {
	if born.IsZero() {
		return ""
	}
	return strconv.FormatInt(born.UnixMilli(), 10)
}

// loadingUnknown stands for a load whose version the engine does not tell.
const loadingUnknown = chunk.Digest("loading")

// digestOf names a version; one whose manifest is not known gets a name of its
// own, which equals no manifest's.
func (s *Shelf) digestOf(model string, version uint64) chunk.Digest {
	if e, ok := s.Find(model, version); ok {
		return e.Digest
	}
	return chunk.Digest(model + "/" + strconv.FormatUint(version, 10))
}
