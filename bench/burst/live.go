package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// A live request: its sizes, the target's own time for it, how many a side
// gets in a second, and how many of them come from another region.
const (
	liveAsk      = 512
	liveAnswer   = 1024
	liveService  = 60 * time.Millisecond
	liveJitter   = 40 * time.Millisecond
	livePerSide  = 20.0
	liveCrossOne = 16 // one in this many crosses regions
)

// liveCrossing is the live traffic in bytes a second over the busier
// direction of one region link.
func liveCrossing(sides int) float64 {
	perRegion := float64((sides + len(regionNames) - 1) / len(regionNames))
	return perRegion * livePerSide / liveCrossOne * (liveAsk + liveAnswer)
}

// live sends requests to every side of a world and keeps their latencies.
type live struct {
	w *world

	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newLive(w *world) *live {
	return &live{w: w, hist: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

// swap returns the latencies since the last swap.
func (l *live) swap() *hdrhistogram.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hist
	l.hist = newHistogram()
	return h
}

func p99(h *hdrhistogram.Histogram) time.Duration {
	return time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
}

// run sends requests at random moments until ctx ends.
func (l *live) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, s := range l.w.sides {
		wg.Go(func() { l.drive(ctx, s) })
	}
}

func (l *live) drive(ctx context.Context, s *side) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for k := 0; ctx.Err() == nil; k++ {
		gap := time.Duration(rand.ExpFloat64() / livePerSide * float64(time.Second))
		if sleepUntil(ctx, time.Now().Add(gap)) != nil {
			return
		}
		if s.dead() {
			return
		}
		far := k%liveCrossOne == 0
		wg.Go(func() { l.request(ctx, s, far) })
	}
}

func (l *live) request(ctx context.Context, s *side, far bool) {
	begin := time.Now()
	other := l.w.regions[(s.region+1)%len(l.w.regions)]
	own := l.w.regions[s.region]
	in := []*wire{s.down}
	out := []*wire{s.up}
	if far {
		in = []*wire{other.out, own.in, s.down}
		out = []*wire{s.up, own.out, other.in}
		s.pacer.RegionMeter.CountLive(liveAsk)
		s.pacer.RegionMeter.CountLive(liveAnswer)
	}
	s.pacer.Down.CountLive(liveAsk)
	if passLive(ctx, liveAsk, in...) != nil {
		return
	}
	service := liveService + rand.N(liveJitter)
	if sleepUntil(ctx, time.Now().Add(service)) != nil {
		return
	}
	s.pacer.Up.CountLive(liveAnswer)
	if passLive(ctx, liveAnswer, out...) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(int64(time.Since(begin) / time.Microsecond))
}
