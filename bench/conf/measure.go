package main

import (
	"context"
	"runtime"
	"slices"
	"syscall"
	"time"
)

// settleTime passes before the phases, so that connections are established and the
// VM list no longer changes.
const settleTime = 6 * time.Second

// result holds the measurements of one trial. Rates are per second. Bytes are per
// process: platformBytes and platformBytesMax are what it has read from the platform
// itself, the others what it received and sent on its configuration connections. CPU
// rates and heapPerProcess are means over the processes. lastMedian and lastMax are
// the times until the last process has a promoted revision.
type result struct {
	trial
	startReads       uint64
	startTime        time.Duration
	idleReads        float64
	idleList         float64
	idleBytes        float64
	idleBytesMax     float64
	idleCPU          float64
	changeReads      float64
	changeBytes      float64
	changeBytesMax   float64
	platformBytes    float64
	platformBytesMax float64
	changeCPU        float64
	lastMedian       time.Duration
	lastMax          time.Duration
	heapPerProcess   float64
	readers          int
	peersLargest     int
}

// sample holds the counters at one moment. list is the number of reads of the VM
// list.
type sample struct {
	at    time.Time
	reads uint64
	list  uint64
	cpu   time.Duration
	bytes []uint64
	// platformBytes is the number of bytes that each process has read from the
	// platform itself.
	platformBytes []uint64
}

func (f *testFleet) sample() sample {
	s := sample{at: time.Now(), reads: f.reads.Load(), list: f.listReads.Load(), cpu: cpuTime()}
	for _, w := range f.watchers {
		st := w.Stats()
		s.bytes = append(s.bytes, st.ReceivedBytes+st.SentBytes)
		s.platformBytes = append(s.platformBytes, st.PlatformBytes)
	}
	return s
}

// phaseRates holds the rates per second between two samples.
type phaseRates struct {
	reads, list, cpu                    float64
	bytesMean, bytesMax                 float64
	platformBytesMean, platformBytesMax float64
}

func ratesBetween(a, b sample) phaseRates {
	secs := b.at.Sub(a.at).Seconds()
	p := phaseRates{
		reads: float64(b.reads-a.reads) / secs,
		list:  float64(b.list-a.list) / secs,
		cpu:   (b.cpu - a.cpu).Seconds() / secs / float64(len(a.bytes)),
	}
	p.bytesMean, p.bytesMax = growthRates(a.bytes, b.bytes, secs)
	p.platformBytesMean, p.platformBytesMax = growthRates(a.platformBytes, b.platformBytes, secs)
	return p
}

// growthRates returns the mean and the largest growth per second.
func growthRates(a, b []uint64, secs float64) (mean, largest float64) {
	for i := range a {
		rate := float64(b[i]-a[i]) / secs
		mean += rate / float64(len(a))
		largest = max(largest, rate)
	}
	return mean, largest
}

func measure(parent context.Context, p trial) (result, error) {
	r := result{trial: p}
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	before := liveHeap()
	begin := time.Now()
	f, err := startFleet(ctx, p)
	if err != nil {
		return r, err
	}
	defer f.wg.Wait()
	defer cancel()
	if err := f.awaitAll(ctx, 1); err != nil {
		return r, err
	}
	r.startTime = time.Since(begin)
	time.Sleep(settleTime)
	r.startReads = f.reads.Load()
	f.idle(&r)
	f.injectFault(p.fault)
	if err := f.changes(ctx, &r); err != nil {
		return r, err
	}
	r.heapPerProcess = (liveHeap() - before) / float64(p.processes)
	return r, ctx.Err()
}

// idle measures the phase without promotions.
func (f *testFleet) idle(r *result) {
	a := f.sample()
	time.Sleep(r.idle)
	ph := ratesBetween(a, f.sample())
	r.idleReads, r.idleList = ph.reads, ph.list
	r.idleBytes, r.idleBytesMax, r.idleCPU = ph.bytesMean, ph.bytesMax, ph.cpu
	for _, w := range f.watchers {
		st := w.Stats()
		if st.Reader {
			r.readers++
		}
		r.peersLargest = max(r.peersLargest, st.Peers)
	}
}

// changes measures the phase with promotions, one every promotionInterval unless a
// process takes longer to get the revision.
func (f *testFleet) changes(ctx context.Context, r *result) error {
	var times []time.Duration
	a := f.sample()
	for i := 1; i <= r.promotions; i++ {
		next := time.Now().Add(promotionInterval)
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
	ph := ratesBetween(a, f.sample())
	r.changeReads, r.changeBytes, r.changeBytesMax, r.changeCPU = ph.reads, ph.bytesMean, ph.bytesMax, ph.cpu
	r.platformBytes, r.platformBytesMax = ph.platformBytesMean, ph.platformBytesMax
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

// liveHeap returns the size of the live heap in bytes, after a garbage collection.
func liveHeap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
