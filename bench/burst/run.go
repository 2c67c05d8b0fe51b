package main

import (
	"context"
	"os"
	"sync"
	"time"

	"hawthornferry/core/version/chunk"
	"hawthornferry/io/version/swarm"
)

// Time limits of a trial. quietTime is how long only live traffic runs before the
// version is spread. A trial may take limitFactor times its bound, but at least
// minTimeLimit.
const (
	quietTime    = 1500 * time.Millisecond
	limitFactor  = 4
	minTimeLimit = 30 * time.Second
)

// run carries out one trial.
func run(ctx context.Context, t trial, seed uint64) (result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := t.rates()
	w, err := newTestbed(ctx, t, r, seed)
	if err != nil {
		return result{}, err
	}
	defer w.close()
	l := newLiveTraffic(w)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { l.run(ctx) })
	if err := sleepUntil(ctx, time.Now().Add(quietTime)); err != nil {
		return result{}, err
	}
	out := result{trial: t, bound: t.bound(r), p99Before: p99(l.takeLatencies())}
	begin := time.Now()
	v := w.view()
	for _, s := range w.sides {
		s.node.Update(v, []swarm.WantedVersion{{Model: "model", Version: "1", Manifest: w.manifestDigest}})
	}
	wg.Go(func() { w.faults.inject(ctx, w) })
	if printLinkUse {
		wg.Go(func() { w.printLinkUse(ctx, os.Stdout) })
	}
	out.incomplete = w.awaitVerified(ctx, max(limitFactor*out.bound, minTimeLimit))
	out.duration = time.Since(begin)
	out.p99During = p99(l.takeLatencies())
	w.measure(&out)
	return out, nil
}

// awaitVerified waits until every side that was not killed has verified the whole
// version, and returns how many have not when limit has passed.
func (w *testbed) awaitVerified(ctx context.Context, limit time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	lost := 0
	for _, s := range w.sides {
		if !s.awaitVerified(ctx) {
			lost++
		}
	}
	return lost
}

// awaitVerified reports whether the side verified the whole version before ctx
// ended. It is true for a side that was killed.
func (s *side) awaitVerified(ctx context.Context) bool {
	for {
		changed := s.node.ProgressChanged()
		if p := s.node.Progress(); len(p) == 1 && p[0].Verified {
			return true
		}
		if s.wasKilled() {
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

// measure reads the byte counters of the links and, in a trial without faults,
// counts each side with a missing or corrupt staged chunk as incomplete.
func (w *testbed) measure(out *result) {
	f := float64(w.trial.bytes())
	out.originCopies = float64(w.origin.transferred()) / f
	for _, r := range w.regions {
		out.regionCopies = max(out.regionCopies, float64(r.in.transferred())/f, float64(r.out.transferred())/f)
	}
	if w.faults.enabled {
		return
	}
	for _, s := range w.sides {
		for _, ref := range w.manifest.Chunks {
			b, err := s.node.Staging.Get(context.Background(), ref.Digest)
			if err != nil || chunk.DigestOf(b) != ref.Digest {
				out.incomplete++
				break
			}
		}
	}
}
