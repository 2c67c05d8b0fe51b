package main

import (
	"context"
	"runtime"
	"slices"
	"syscall"
	"time"
)

// settle lets connections and the VM list come to rest before the phases.
const settle = 6 * time.Second

// result is what one run has measured. Rates are a second; bytes are those
// of the configuration connections, received and sent, for each process.
type result struct {
	plan
	startReads   uint64
	startTime    time.Duration
	idleReads    float64
	idleList     float64
	idleBytes    float64
	idleMax      float64
	idleCPU      float64
	changeReads  float64
	changeBytes  float64
	changeMax    float64
	platform     float64
	platformMax  float64
	changeCPU    float64
	lastMedian   time.Duration
	lastMax      time.Duration
	heapEach     float64
	readers      int
	peersLargest int
}

// sample is the counts at one moment.
type sample struct {
	at    time.Time
	reads uint64
	list  uint64
	cpu   time.Duration
	bytes []uint64
	// platform is the bytes that each process has read itself.
	platform []uint64
}

func (f *fleetOf) sample() sample {
	s := sample{at: time.Now(), reads: f.reads.Load(), list: f.listReads.Load(), cpu: cpuTime()}
	for _, w := range f.watchers {
		st := w.Stats()
		s.bytes = append(s.bytes, st.ReceivedBytes+st.SentBytes)
		s.platform = append(s.platform, st.PlatformBytes)
	}
	return s
}

// phase is the difference of two samples, as rates.
type phase struct {
	reads, list, cpu          float64
	bytesMean, bytesMax       float64
	platformMean, platformMax float64
}

func between(a, b sample) phase {
	secs := b.at.Sub(a.at).Seconds()
	p := phase{
		reads: float64(b.reads-a.reads) / secs,
		list:  float64(b.list-a.list) / secs,
		cpu:   (b.cpu - a.cpu).Seconds() / secs / float64(len(a.bytes)),
	}
	p.bytesMean, p.bytesMax = rates(a.bytes, b.bytes, secs)
	p.platformMean, p.platformMax = rates(a.platform, b.platform, secs)
	return p
}

// rates returns the mean and the largest growth a second.
func rates(a, b []uint64, secs float64) (mean, largest float64) {
	for i := range a {
		rate := float64(b[i]-a[i]) / secs
		mean += rate / float64(len(a))
		largest = max(largest, rate)
	}
	return mean, largest
}

func measure(parent context.Context, p plan) (result, error) {
	r := result{plan: p}
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	before := heap()
	begin := time.Now()
	f, err := start(ctx, p)
	if err != nil {
		return r, err
	}
	defer f.wg.Wait()
	defer cancel()
	if err := f.awaitAll(ctx, 1); err != nil {
		return r, err
	}
	r.startTime = time.Since(begin)
	time.Sleep(settle)
	r.startReads = f.reads.Load()
	f.idle(&r)
	f.strike(p.fault)
	if err := f.changes(ctx, &r); err != nil {
		return r, err
	}
	r.heapEach = (heap() - before) / float64(p.processes)
	return r, ctx.Err()
}

func (f *fleetOf) idle(r *result) {
	a := f.sample()
	time.Sleep(r.idle)
	ph := between(a, f.sample())
	r.idleReads, r.idleList = ph.reads, ph.list
	r.idleBytes, r.idleMax, r.idleCPU = ph.bytesMean, ph.bytesMax, ph.cpu
	for _, w := range f.watchers {
		st := w.Stats()
		if st.Reader {
			r.readers++
		}
		r.peersLargest = max(r.peersLargest, st.Peers)
	}
}

func (f *fleetOf) changes(ctx context.Context, r *result) error {
	var times []time.Duration
	a := f.sample()
	for i := 1; i <= r.promotions; i++ {
		next := time.Now().Add(pace)
		begin := time.Now()
		if err := f.promote(ctx, r.sections, i); err != nil {
			return err
		}
		if err := f.awaitAll(ctx, uint64(i+1)); err != nil {
			return err
		}
		times = append(times, time.Since(begin))
		time.Sleep(time.Until(next))
	}
	ph := between(a, f.sample())
	r.changeReads, r.changeBytes, r.changeMax, r.changeCPU = ph.reads, ph.bytesMean, ph.bytesMax, ph.cpu
	r.platform, r.platformMax = ph.platformMean, ph.platformMax
	slices.Sort(times)
	r.lastMedian, r.lastMax = times[len(times)/2], times[len(times)-1]
	return nil
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap is the live heap in bytes.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
