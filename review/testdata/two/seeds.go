package main

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// The case: four entries. The settings name the first two as seeds; then the settings files
// change and name the other two, and the first two are stopped and started in turn. The operator
// changes the configuration all the while: each version moves the route to another service.
// Requests go to each entry.
const (
	seedEntries   = 4
	seedServices  = 24
	seedHost      = "move.example"
	settingsAt    = 6 * time.Second
	seedRollAt    = 10 * time.Second
	seedRollGap   = time.Second
	judgeFrom     = 25 * time.Second
	seedEnd       = 100 * time.Second
	seedInterval  = 40 * time.Millisecond
	configApply   = 2 * time.Second
	firstChangeAt = 4 * time.Second
)

type seedCase struct {
	*env
	ctx     context.Context
	store   *store
	entries []*program
	fronts  []netip.AddrPort

	mu sync.Mutex
	// acked holds, for each version from 1 on, when its successor was acknowledged; zero for
	// the newest one.
	acked []time.Time
	// judged and stale count the requests by entry; oldest is how late the latest one was.
	judged, stale [seedEntries]int
	other         map[string]int
	oldest        time.Duration
}

func serviceOf(version int) string { return fmt.Sprintf("desk%d", version%seedServices) }

// putConfig stores a version of the configuration, in which the route leads to a service of its
// own.
func (s *seedCase) putConfig(version int) {
	var backends []map[string]any
	for i := range seedServices {
		backends = append(backends, map[string]any{"name": serviceOf(i), "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false})
	}
	s.store.put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-1", "hostname": seedHost, "prefix": "/check/", "route_type": "idempotent", "timeout_ms": 800, "target_latency_ms": 100, "priority": 2, "backend": serviceOf(version), "max_attempts": 2, "anonymous": false},
		},
		"backends": backends,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "tenant1", "api_keys": []string{"key1"}, "priority": 1}},
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if n := len(s.acked); n > 0 {
		s.acked[n-1] = now
	}
	s.acked = append(s.acked, time.Time{})
	s.rec.logf("version %d acknowledged: the route leads to %s", version, serviceOf(version))
}

func runSeeds(e *env) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), seedEnd)
	defer cancel()
	s := &seedCase{env: e, ctx: ctx, store: newStore(), other: map[string]int{}}
	defer func() {
		for _, p := range s.entries {
			p.end()
		}
	}()
	storeAddr := e.net.addr(5, 1, portStore)
	if err := serveHTTP(storeAddr, s.store); err != nil {
		return false, err
	}
	for i := range seedServices {
		p := newReplica(fmt.Sprintf("i-%d", i), serviceOf(i), i%len(zoneRegions), e.net.addr(4, i+1, portReplica), e.rec)
		p.work = 5 * time.Millisecond
		if err := serveHTTP(p.addr, p); err != nil {
			return false, err
		}
		s.store.put("servers/"+p.id, p.entry())
	}
	s.putConfig(1)
	var controls []netip.AddrPort
	for i := range seedEntries {
		controls = append(controls, e.net.addr(i%3+1, i/3+1, portControl))
		s.fronts = append(s.fronts, e.net.addr(i%3+1, i/3+1, portFrontend))
	}
	write := func(i int, seeds []netip.AddrPort) error {
		return s.entries[i].writeSettings(e.net.ip(i%3+1, i/3+1), i%3, "edge", seeds, storeAddr, "")
	}
	for i := range seedEntries {
		s.entries = append(s.entries, &program{name: fmt.Sprintf("entry-%d", i), binary: e.binary, command: "hosted-entry", dir: e.dir, rec: e.rec})
		if err := write(i, controls[:2]); err != nil {
			return false, err
		}
		if err := s.entries[i].start(); err != nil {
			return false, err
		}
	}
	go s.changeConfigs()
	var wg sync.WaitGroup
	for i := range seedEntries {
		wg.Go(func() { s.ask(i) })
	}
	if e.trouble {
		sleepUntil(ctx, settingsAt)
		for i := range seedEntries {
			if err := write(i, controls[2:]); err != nil {
				return false, err
			}
		}
		e.rec.logf("the settings files of all entries name entries 2 and 3 as seeds; entry 2 gets SIGHUP")
		s.entries[2].signal(syscall.SIGHUP, false)
		for i := range 2 {
			sleepUntil(ctx, seedRollAt+time.Duration(i)*seedRollGap)
			s.entries[i].term(gracePeriod)
		}
	}
	<-ctx.Done()
	wg.Wait()
	stale, judged := 0, 0
	for i := range seedEntries {
		e.rec.logf("entry %d: %d requests judged, %d of them run by a service that only a version allows which had been replaced for over %v when they were sent", i, s.judged[i], s.stale[i], configApply)
		stale += s.stale[i]
		judged += s.judged[i]
	}
	e.rec.logf("all: %d judged, %d by an older version, the latest one %v after its successor was acknowledged; others: %v", judged, stale, s.oldest.Round(time.Millisecond), s.other)
	if judged < 2000 {
		return false, fmt.Errorf("only %d requests were judged", judged)
	}
	return stale > 0, nil
}

// changeConfigs stores a new version every few seconds, in uneven steps.
func (s *seedCase) changeConfigs() {
	at := firstChangeAt
	for version := 2; sleepUntil(s.ctx, at); version++ {
		s.putConfig(version)
		at += 800*time.Millisecond + time.Duration(version*370%700)*time.Millisecond
	}
}

// ask sends requests to one entry.
func (s *seedCase) ask(i int) {
	g := &ingress{fronts: []netip.AddrPort{s.fronts[i]}, misses: []int{0}}
	var c *conn
	tick := time.NewTicker(seedInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-tick.C:
		}
		if time.Since(began) < judgeFrom {
			continue
		}
		if c == nil {
			var err error
			if c, err = g.connect(0, 0); err != nil {
				c = nil
				s.count(fmt.Sprint("no connection"))
				continue
			}
		}
		sent := time.Now()
		a := c.request("GET", seedHost, "/check/x", newID(), key, "", 1500*time.Millisecond)
		s.judge(i, sent, a)
		if a.err != nil {
			c.Close()
			c = nil
		}
	}
}

func (s *seedCase) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.other[what]++
}

// judge judges an answer by the service that ran the request.
func (s *seedCase) judge(i int, sent time.Time, a answer) {
	if a.status != 200 || !a.complete {
		s.count(fmt.Sprintf("status %d", a.status))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.judged[i]++
	// The newest version that led to the service, of those acknowledged so far.
	for v := len(s.acked); v >= 1; v-- {
		if serviceOf(v) != a.service {
			continue
		}
		if until := s.acked[v-1]; !until.IsZero() && sent.Sub(until) > configApply {
			s.stale[i]++
			late := sent.Sub(until)
			s.oldest = max(s.oldest, late)
			s.rec.logf("entry %d: a request sent now was run by %s, as only version %d allows, which was replaced %v before", i, a.service, v, late.Round(time.Millisecond))
		}
		return
	}
}
