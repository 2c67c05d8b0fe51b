package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// execution is a request that a plain replica has run.
type execution struct {
	replica, id, method, target, tenant string
	authorization                       string
	at                                  time.Time
}

// plain stands in for a replica of a service without a model.
type plain struct {
	env     *env
	store   *store
	id      string
	service string
	ip      string
	zone    string
	born    time.Time
	work    time.Duration
	// onRun is told of each request that the replica runs.
	onRun func(x execution)

	mu    sync.Mutex
	beats int
}

func (p *plain) address() string { return fmt.Sprintf("%s:%d", p.ip, portReplica) }

func (p *plain) beat() {
	for {
		p.mu.Lock()
		p.beats++
		beats := p.beats
		p.mu.Unlock()
		p.store.put("servers/"+p.id, map[string]any{
			"backend": p.service, "address": p.address(), "zone": p.zone, "version": "1", "slots": 6, "state": "ready",
			"warmup_left_ms": 0, "seq_no": beats, "born": p.born.UnixMilli(),
		})
		time.Sleep(heartbeat)
	}
}

func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Hawthornferry-Replica-Id", p.id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Hawthornferry-Attempt-Id")
	w.Header().Set("Hawthornferry-Attempt-Id", id)
	if id == "" || r.Header.Get("Hawthornferry-Expect-Replica") != p.id {
		w.Header().Set("Hawthornferry-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x := execution{
		replica: p.id, id: id, method: r.Method, target: r.RequestURI, tenant: r.Header.Get("Hawthornferry-Tenant"),
		authorization: r.Header.Get("Authorization"), at: time.Now(),
	}
	p.env.logf("%s: request %s runs: %s %s, host %q, tenant %q", p.id, id, x.method, x.target, r.Host, x.tenant)
	p.onRun(x)
	time.Sleep(p.work)
	w.Header().Set("Hawthornferry-Replica-Signature", p.id+"."+id)
	fmt.Fprintf(w, "done %s", id)
}

// startPlain starts a number of plain replicas of a service.
func (e *env) startPlain(s *store, service string, subnet, count int, onRun func(x execution)) error {
	for n := range count {
		p := &plain{
			env: e, store: s, id: fmt.Sprintf("i-%s-%d", service, n), service: service, ip: e.ip(subnet, n), zone: zoneOf(n),
			born: time.Now(), work: 15 * time.Millisecond, onRun: onRun,
		}
		if err := e.listen(p.address(), p); err != nil {
			return err
		}
		go p.beat()
	}
	return nil
}

// startEntries starts entries and waits until they are ready.
func (e *env) startEntries(storeAddr string, count int) error {
	var seeds []string
	for n := range count {
		seeds = append(seeds, fmt.Sprintf("%s:%d", e.ip(1, n), portControl))
	}
	for n := range count {
		m := machine{name: fmt.Sprintf("entry%d", n), class: "edge", ip: e.ip(1, n), zone: zoneOf(n), seeds: seeds, store: storeAddr}
		if err := e.addProcess(&process{name: m.name, command: "hosted-entry", settings: m.toml()}).start(); err != nil {
			return err
		}
	}
	for n := range count {
		if !e.awaitReady(e.ip(1, n), 10*time.Second) {
			return fmt.Errorf("%w: entry %d is not ready", errNotRun, n)
		}
	}
	return nil
}
