// Package shelf fits engines that keep weights by number, and origins that
// name them so, to the distribution of chunks by digest. It keeps the
// verified chunks of the version on its way in memory, since what lies at the
// engine may be spoilt after it was staged.
package shelf

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/version/chunk"
)

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
	// lies is the chunk that was last seen at each number of the engine.
	lies   map[int]chunk.Digest
	spoilt int
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
