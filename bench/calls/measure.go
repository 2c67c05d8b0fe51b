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

// kind is one kind of call. Its URL differs between the routes.
type kind struct {
	name   string
	method string
	direct func(w *testbed) string
	entry  func(w *testbed) string
	body   func(s options) string
}

var kinds = []kind{
	{
		name: "lookup", method: http.MethodGet, body: func(options) string { return "" },
		direct: func(w *testbed) string { return w.plainTarget + "/pitches" },
		entry:  func(w *testbed) string { return w.entryAddress + "/v1/services/booking/pitches" },
	},
	{
		name: "once", method: http.MethodPost, body: func(s options) string { return strings.Repeat("x", s.bodySize) },
		direct: func(w *testbed) string { return w.plainTarget + "/payments" },
		entry:  func(w *testbed) string { return w.entryAddress + "/v1/services/booking/payments" },
	},
	{
		name: "stream", method: http.MethodPost,
		body:   func(options) string { return `{"model":"helper","stream":true,"messages":[]}` },
		direct: func(w *testbed) string { return w.engineTarget + "/v1/chat/completions" },
		entry:  func(w *testbed) string { return w.entryAddress + "/v1/chat/completions" },
	},
}

// route collects the latencies, in microseconds, of the calls over one of the two
// routes to a target.
type route struct {
	name      string
	url       string
	latencies *hdrhistogram.Histogram
	elapsed   time.Duration
}

// maxLatencyMicros is the highest latency that the histogram can hold.
const maxLatencyMicros = 60_000_000

func newRoute(name, url string) *route {
	return &route{name: name, url: "http://" + url, latencies: hdrhistogram.New(1, maxLatencyMicros, 3)}
}

func measure(s options, w *testbed, k kind) error {
	var routes []*route
	for _, l := range []*route{newRoute("direct", k.direct(w)), newRoute("entry", k.entry(w))} {
		if s.route == "" || s.route == l.name {
			routes = append(routes, l)
		}
	}
	client := &http.Transport{MaxIdleConnsPerHost: s.workers}
	defer client.CloseIdleConnections()
	for range s.rounds {
		for _, l := range routes {
			if err := l.callForSlice(s, k, client); err != nil {
				return err
			}
		}
	}
	for _, l := range routes {
		fmt.Printf("%-7s %-7s workers %-4d calls/s %9.0f  p50 %7d us  p99 %7d us  max %7d us\n",
			k.name, l.name, s.workers, float64(l.latencies.TotalCount())/l.elapsed.Seconds(),
			l.latencies.ValueAtQuantile(50), l.latencies.ValueAtQuantile(99), l.latencies.Max())
	}
	return nil
}

// callForSlice sends calls over the route for one slice, from all workers at once.
func (l *route) callForSlice(s options, k kind, client *http.Transport) error {
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
				_ = l.latencies.RecordValue(d.Microseconds())
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	l.elapsed += time.Since(start)
	return failed
}

func (l *route) call(s options, k kind, client *http.Transport) (time.Duration, error) {
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
