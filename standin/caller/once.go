package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"hawthornferry/standin/plain"
)

// onceOutcomes holds the outcome of each once-call by its key.
type onceOutcomes struct {
	mu       sync.Mutex
	reported map[string]Outcome
}

func (e *onceOutcomes) record(c *call) {
	if c.kind != KindOnce {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reported == nil {
		e.reported = map[string]Outcome{}
	}
	e.reported[c.key] = c.result.outcome
}

// OnceCheck compares the outcomes of the once-calls with their executions. Ran is
// the number of keys that were executed, Duplicates of those that were executed
// more than once. FalseNotRun is the number of keys with outcome NotRun that were
// executed, FalseDone of keys with outcome Done that were not.
type OnceCheck struct {
	Calls       int `json:"calls"`
	Ran         int `json:"ran"`
	Duplicates  int `json:"duplicates"`
	FalseNotRun int `json:"falseNotRun"`
	FalseDone   int `json:"falseDone"`
}

// compare checks the outcomes against the executions by key, summed over all
// replicas.
func (e *onceOutcomes) compare(ran map[string]int) OnceCheck {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := OnceCheck{Calls: len(e.reported)}
	for key, outcome := range e.reported {
		n := ran[key]
		o.Ran += min(n, 1)
		if n > 1 {
			o.Duplicates++
		}
		if n > 0 && outcome == NotRun {
			o.FalseNotRun++
		}
		if n == 0 && outcome == Done {
			o.FalseDone++
		}
	}
	return o
}

// executions reads the executions of each key and sums them over the replicas.
func (l *LoadTest) executions() (map[string]int, error) {
	sum := map[string]int{}
	for _, a := range l.Replicas {
		ran, err := l.executionsAt(a)
		if err != nil {
			return nil, errors.Wrapf(err, "executions of %s", a)
		}
		for key, n := range ran {
			sum[key] += n
		}
	}
	return sum, nil
}

func (l *LoadTest) executionsAt(a netip.AddrPort) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), l.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.String()+"/control/executions", nil)
	if err != nil {
		return nil, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var v plain.Executions
	err = json.NewDecoder(resp.Body).Decode(&v)
	return v.Executions, err
}
