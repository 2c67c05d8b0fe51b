package caller

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of the latency histograms in microseconds, and their number of
// significant digits.
const (
	minLatency = 1
	maxLatency = 120_000_000
	precision  = 3
)

// maxFaults is the number of distinct fault texts that are counted for a row;
// further ones are left out.
const maxFaults = 64

// rowKey identifies one row of the counts.
type rowKey struct {
	route string
	kind  Kind
}

// tally has the counts and latencies of one row.
type tally struct {
	started    int64
	ended      int64
	done       int64
	notRun     int64
	unknown    int64
	cut        int64
	notWhole   int64
	retried    int64
	faults     map[string]int64
	firstToken *hdrhistogram.Histogram
	whole      *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		faults:     map[string]int64{},
		firstToken: hdrhistogram.New(minLatency, maxLatency, precision),
		whole:      hdrhistogram.New(minLatency, maxLatency, precision),
	}
}

// counts has the rows of a run, and the answers by version and by customer.
type counts struct {
	mu        sync.Mutex
	rows      map[rowKey]*tally
	versions  map[string]int64
	customers map[string]int64
}

func (c *counts) row(s rowKey) *tally {
	if c.rows == nil {
		c.rows = map[rowKey]*tally{}
		c.versions = map[string]int64{}
		c.customers = map[string]int64{}
	}
	t, ok := c.rows[s]
	if !ok {
		t = newTally()
		c.rows[s] = t
	}
	return t
}

func (c *counts) begin(k *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.row(rowKey{route: k.route.Name, kind: k.kind}).started++
}

func (c *counts) end(k *call, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.row(rowKey{route: k.route.Name, kind: k.kind})
	t.add(k, now)
	if k.result.manifest != "" {
		c.versions[k.result.manifest]++
	}
	if k.result.outcome == Done {
		c.customers[k.customer]++
	}
}

func (t *tally) add(k *call, now time.Time) {
	t.ended++
	t.retried += int64(k.attempts - 1)
	if f := k.result.fault; f != "" && (t.faults[f] > 0 || len(t.faults) < maxFaults) {
		t.faults[f]++
	}
	if k.result.cut {
		t.cut++
	}
	if k.result.notWhole {
		t.notWhole++
		return
	}
	switch k.result.outcome {
	case Done:
		t.done++
		t.recordLatency(k, now)
	case NotRun:
		t.notRun++
	default:
		t.unknown++
	}
}

// recordLatency records the latencies of a call that was done.
func (t *tally) recordLatency(k *call, now time.Time) {
	_ = t.whole.RecordValue(now.Sub(k.start).Microseconds())
	if k.firstToken > 0 {
		_ = t.firstToken.RecordValue(k.firstToken.Microseconds())
	}
}
