package main

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"hawthornferry/core/version/chunk"
	"hawthornferry/io/version/swarm"
)

// The faults of a fault run.
const (
	killOneIn    = 10
	corruptOneIn = 50
	stallOneIn   = 10
)

// faults brings about the faults of a run; the zero value brings about none.
type faults struct {
	on      bool
	stalled atomic.Bool
	draws   atomic.Int64
}

// start kills one side in killOneIn and stalls one link in stallOneIn, half
// way through the bound.
func (f *faults) start(ctx context.Context, w *world) {
	if !f.on || sleepUntil(ctx, time.Now().Add(w.trial.bound(w.rates)/2)) != nil {
		return
	}
	f.stalled.Store(true)
	var wg sync.WaitGroup
	for i, s := range w.sides {
		if i%killOneIn != killOneIn-1 {
			continue
		}
		s.killed.Store(true)
		wg.Go(s.stop)
	}
	wg.Wait()
}

// link blocks on a link that has stalled.
func (f *faults) link(ctx context.Context, from, to string) error {
	if !f.stalled.Load() {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(min(from, to) + max(from, to)))
	if h.Sum32()%stallOneIn != 0 {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// drawn corrupts one answer of the origin in corruptOneIn.
func (f *faults) drawn(b []byte) []byte {
	if !f.on || f.draws.Add(1)%corruptOneIn != 0 {
		return b
	}
	return flipped(b)
}

func flipped(b []byte) []byte {
	out := append([]byte(nil), b...)
	out[len(out)/2] ^= 1
	return out
}

// cacheBytes is a cache of one byte in a fault run, so that every upload
// reads the staging area and meets its corruption.
func (f *faults) cacheBytes() int64 {
	if f.on {
		return 1
	}
	return 0
}

// staging wraps a staging area so that one read in corruptOneIn is corrupt.
func (f *faults) staging(s swarm.Staging, seed uint64) swarm.Staging {
	if !f.on {
		return s
	}
	return &badStaging{Staging: s, rng: rand.New(rand.NewPCG(seed, 1))}
}

type badStaging struct {
	swarm.Staging

	mu  sync.Mutex
	rng *rand.Rand
}

// Get returns the chunk, corrupt once in a while.
func (s *badStaging) Get(ctx context.Context, d chunk.Digest) ([]byte, error) {
	b, err := s.Staging.Get(ctx, d)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || s.rng.IntN(corruptOneIn) != 0 {
		return b, err
	}
	return flipped(b), nil
}
