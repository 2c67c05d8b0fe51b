package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// kind is one kind of call. Its path differs between the lanes.
type kind struct {
	name   string
	method string
	direct func(w *world) string
	entry  func(w *world) string
	body   func(s settings) string
}

var kinds = []kind{
	{
		name: "lookup", method: http.MethodGet, body: func(settings) string { return "" },
		direct: func(w *world) string { return w.plain + "/pitches" },
		entry:  func(w *world) string { return w.entry + "/v1/services/booking/pitches" },
	},
	{
		name: "once", method: http.MethodPost, body: func(s settings) string { return strings.Repeat("x", s.bodySize) },
		direct: func(w *world) string { return w.plain + "/payments" },
		entry:  func(w *world) string { return w.entry + "/v1/services/booking/payments" },
	},
	{
		name: "stream", method: http.MethodPost,
		body:   func(settings) string { return `{"model":"helper","stream":true,"messages":[]}` },
		direct: func(w *world) string { return w.engine + "/v1/chat/completions" },
		entry:  func(w *world) string { return w.entry + "/v1/chat/completions" },
	},
}

// lane collects the calls of one way to the target, in microseconds.
type lane struct {
	name  string
	url   string
	hist  *hdrhistogram.Histogram
	spent time.Duration
}

// maxMicros bounds a measured latency.
const maxMicros = 60_000_000

func newLane(name, url string) *lane {
	return &lane{name: name, url: "http://" + url, hist: hdrhistogram.New(1, maxMicros, 3)}
}

func measure(s settings, w *world, k kind) error {
	var lanes []*lane
	for _, l := range []*lane{newLane("direct", k.direct(w)), newLane("entry", k.entry(w))} {
		if s.lane == "" || s.lane == l.name {
			lanes = append(lanes, l)
		}
	}
	client := &http.Transport{MaxIdleConnsPerHost: s.workers}
	defer client.CloseIdleConnections()
	for range s.rounds {
		for _, l := range lanes {
			if err := l.turn(s, k, client); err != nil {
				return err
			}
		}
	}
	for _, l := range lanes {
		fmt.Printf("%-7s %-7s workers %-4d calls/s %9.0f  p50 %7d us  p99 %7d us  max %7d us\n",
			k.name, l.name, s.workers, float64(l.hist.TotalCount())/l.spent.Seconds(),
			l.hist.ValueAtQuantile(50), l.hist.ValueAtQuantile(99), l.hist.Max())
	}
	return nil
}

// turn calls one lane for a slice.
func (l *lane) turn(s settings, k kind, client *http.Transport) error {
	start := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for range s.workers {
		wg.Go(func() {
			for time.Since(start) < s.slice {
				d, err := l.call(s, k, client)
				mu.Lock()
				if err != nil {
					failed = err
				}
				_ = l.hist.RecordValue(d.Microseconds())
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	l.spent += time.Since(start)
	return failed
}

func (l *lane) call(s settings, k kind, client *http.Transport) (time.Duration, error) {
	start := time.Now()
	req, err := http.NewRequest(k.method, l.url, bytes.NewBufferString(k.body(s)))
	if err != nil {
		return 0, err
	}
	res, err := client.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s %s: status %d: %s", l.name, k.name, res.StatusCode, b)
	}
	return time.Since(start), err
}
