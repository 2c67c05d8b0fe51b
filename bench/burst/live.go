package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the live requests: their sizes, the target's processing time and its
// jitter, how many a side gets in a second, and how many of them come from another
// region.
const (
	liveRequestBytes    = 512
	liveResponseBytes   = 1024
	liveServiceTime     = 60 * time.Millisecond
	liveJitter          = 40 * time.Millisecond
	liveRequestsPerSide = 20.0
	liveCrossOneIn      = 16 // one in this many crosses regions
)

// liveCrossRegionRate returns the rate of live traffic, in bytes per second, over
// the busier direction of one region link.
func liveCrossRegionRate(sides int) float64 {
	perRegion := float64((sides + len(regionNames) - 1) / len(regionNames))
	return perRegion * liveRequestsPerSide / liveCrossOneIn * (liveRequestBytes + liveResponseBytes)
}

// liveTraffic sends requests to every side of a testbed and records their latencies.
type liveTraffic struct {
	w *testbed

	mu   sync.Mutex
	hist *hdrhistogram.Histogram
}

func newLiveTraffic(w *testbed) *liveTraffic {
	return &liveTraffic{w: w, hist: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

// takeLatencies returns the latencies since its previous call.
func (l *liveTraffic) takeLatencies() *hdrhistogram.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hist
	l.hist = newHistogram()
	return h
}

func p99(h *hdrhistogram.Histogram) time.Duration {
	return time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
}

// run sends requests at random intervals until ctx ends.
func (l *liveTraffic) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, s := range l.w.sides {
		wg.Go(func() { l.sendToSide(ctx, s) })
	}
}

// sendToSide sends requests to one side until ctx ends or the side was killed. It
// does not wait for responses; one request in liveCrossOneIn comes from another
// region.
func (l *liveTraffic) sendToSide(ctx context.Context, s *side) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		gap := time.Duration(rand.ExpFloat64() / liveRequestsPerSide * float64(time.Second))
		if sleepUntil(ctx, time.Now().Add(gap)) != nil {
			return
		}
		if s.wasKilled() {
			return
		}
		crossRegion := n%liveCrossOneIn == 0
		wg.Go(func() { l.request(ctx, s, crossRegion) })
	}
}

// request simulates one request and records its latency. It reports the bytes to the
// side's pacer, which makes room for live traffic.
func (l *liveTraffic) request(ctx context.Context, s *side, crossRegion bool) {
	begin := time.Now()
	other := l.w.regions[(s.region+1)%len(l.w.regions)]
	own := l.w.regions[s.region]
	in := []*linkDirection{s.down}
	out := []*linkDirection{s.up}
	if crossRegion {
		in = []*linkDirection{other.out, own.in, s.down}
		out = []*linkDirection{s.up, own.out, other.in}
		s.pacer.RegionMeter.CountLive(liveRequestBytes)
		s.pacer.RegionMeter.CountLive(liveResponseBytes)
	}
	s.pacer.Down.CountLive(liveRequestBytes)
	if sendLive(ctx, liveRequestBytes, in...) != nil {
		return
	}
	service := liveServiceTime + rand.N(liveJitter)
	if sleepUntil(ctx, time.Now().Add(service)) != nil {
		return
	}
	s.pacer.Up.CountLive(liveResponseBytes)
	if sendLive(ctx, liveResponseBytes, out...) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.hist.RecordValue(int64(time.Since(begin) / time.Microsecond))
}
