package main

import (
	"context"
	"os"
	"sync"
	"time"

	"hawthornferry/core/version/chunk"
	"hawthornferry/io/version/swarm"
)

// Times of a run.
const (
	beforeTime = 1500 * time.Millisecond
	// giveUp is how many times the bound a run may take.
	giveUp      = 4
	giveUpLeast = 30 * time.Second
)

// run carries out one trial.
func run(ctx context.Context, t trial, seed uint64) (result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := t.rates()
	w, err := newWorld(ctx, t, r, seed)
	if err != nil {
		return result{}, err
	}
	defer w.close()
	l := newLive(w)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { l.run(ctx) })
	if err := sleepUntil(ctx, time.Now().Add(beforeTime)); err != nil {
		return result{}, err
	}
	out := result{trial: t, bound: t.bound(r), before: p99(l.swap())}
	begin := time.Now()
	v := w.view()
	for _, s := range w.sides {
		s.node.Update(v, []swarm.WantedVersion{{Model: "model", Version: "1", Manifest: w.pinned}})
	}
	wg.Go(func() { w.faults.start(ctx, w) })
	if profiled {
		wg.Go(func() { w.profile(ctx, os.Stdout) })
	}
	out.lost = w.await(ctx, max(giveUp*out.bound, giveUpLeast))
	out.took = time.Since(begin)
	out.during = p99(l.swap())
	w.measure(&out)
	return out, nil
}

// await waits until every living side is whole and returns how many are not
// when limit has passed.
func (w *world) await(ctx context.Context, limit time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	lost := 0
	for _, s := range w.sides {
		if !s.await(ctx) {
			lost++
		}
	}
	return lost
}

// await reports whether the side became whole before ctx ended; a side that
// was killed counts as such.
func (s *side) await(ctx context.Context) bool {
	for {
		changed := s.node.ProgressChanged()
		if p := s.node.Progress(); len(p) == 1 && p[0].Verified {
			return true
		}
		if s.dead() {
			return true
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return false
		}
	}
}

// measure reads the wires and checks what is staged.
func (w *world) measure(out *result) {
	f := float64(w.trial.bytes())
	out.originCopies = float64(w.origin.carried()) / f
	for _, r := range w.regions {
		out.regionCopies = max(out.regionCopies, float64(r.in.carried())/f, float64(r.out.carried())/f)
	}
	if w.faults.on {
		return
	}
	for _, s := range w.sides {
		for _, ref := range w.manifest.Chunks {
			b, err := s.node.Staging.Get(context.Background(), ref.Digest)
			if err != nil || chunk.DigestOf(b) != ref.Digest {
				out.lost++
				break
			}
		}
	}
}
