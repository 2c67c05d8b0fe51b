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

// How often the faults of a trial with faults occur.
const (
	killOneIn    = 10
	corruptOneIn = 50
	stallOneIn   = 10
)

// faults injects the faults of a trial; the zero value injects none.
type faults struct {
	enabled     bool
	stalled     atomic.Bool
	originReads atomic.Int64
}

// inject waits for half of the trial's bound. Then it stalls one link in stallOneIn
// and kills one side in killOneIn.
func (f *faults) inject(ctx context.Context, w *testbed) {
	if !f.enabled || sleepUntil(ctx, time.Now().Add(w.trial.bound(w.rates)/2)) != nil {
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

// blockIfStalled blocks until ctx ends if the link between the two sides has
// stalled.
func (f *faults) blockIfStalled(ctx context.Context, from, to string) error {
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

// originResponse returns the bytes that the origin sends for a chunk; one response
// in corruptOneIn is corrupted.
func (f *faults) originResponse(b []byte) []byte {
	if !f.enabled || f.originReads.Add(1)%corruptOneIn != 0 {
		return b
	}
	return withFlippedBit(b)
}

func withFlippedBit(b []byte) []byte {
	out := append([]byte(nil), b...)
	out[len(out)/2] ^= 1
	return out
}

// cacheBytes returns the size of a side's chunk cache: one byte in a trial with
// faults, so that every upload reads from the staging area, whose reads may be
// corrupted; otherwise 0, which means the default.
func (f *faults) cacheBytes() int64 {
	if f.enabled {
		return 1
	}
	return 0
}

// wrapStaging wraps a staging area so that one read in corruptOneIn is corrupted, at
// random.
func (f *faults) wrapStaging(s swarm.Staging, seed uint64) swarm.Staging {
	if !f.enabled {
		return s
	}
	return &corruptingStaging{Staging: s, rng: rand.New(rand.NewPCG(seed, 1))}
}

type corruptingStaging struct {
	swarm.Staging

	mu  sync.Mutex
	rng *rand.Rand
}

// Get returns the chunk, at random corrupted.
func (s *corruptingStaging) Get(ctx context.Context, d chunk.Digest) ([]byte, error) {
	b, err := s.Staging.Get(ctx, d)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil || s.rng.IntN(corruptOneIn) != 0 {
		return b, err
	}
	return withFlippedBit(b), nil
}
