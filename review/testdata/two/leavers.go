package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// The case: as that of the seeds, but the configuration stays, and replicas leave. Every 2.4 to
// 3.1 s a new one comes, and one removes its entry without having reported that it drains. It
// goes on serving for many seconds.
const (
	leaverReplicas = 8
	drainTime      = 2 * time.Second
)

type leaverCase struct {
	*env
	ctx     context.Context
	store   *store
	entries []*program
	fronts  []netip.AddrPort

	mu sync.Mutex
	// left holds when the store acknowledged that a replica was gone.
	left         map[string]time.Time
	judged, late int
	latest       time.Duration
	other        map[string]int
	byEntry      map[string]int
}

// leaver is a replica that may have left.
type leaver struct {
	*replica
	c *leaverCase
}

// headerVia is a header of the clients of this case; it is forwarded as any other.
const headerVia = "X-Via"

func (l *leaver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.c.arrived(l.id, r.Header.Get(headerVia))
	l.replica.ServeHTTP(w, r)
}

// arrived judges an arrival. Health checks, which are not a client's, don't count.
func (c *leaverCase) arrived(id, via string) {
	if via == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.judged++
	left, gone := c.left[id]
	if !gone {
		return
	}
	if after := time.Since(left); after > drainTime {
		c.late++
		c.byEntry[via]++
		c.latest = max(c.latest, after)
		c.rec.logf("a request sent through entry %s reaches %s, which the store has not listed for %v", via, id, after.Round(time.Millisecond))
	}
}

func (c *leaverCase) add(n int) error {
	p := newReplica(fmt.Sprintf("i-%d", n), "desk", n%len(zoneRegions), c.net.addr(4, n+1, portReplica), c.rec)
	p.work, p.slots = 5*time.Millisecond, 6
	if err := serveHTTP(p.addr, &leaver{p, c}); err != nil {
		return err
	}
	c.store.put("servers/"+p.id, p.entry())
	return nil
}

// change adds and removes replicas.
func (c *leaverCase) change() {
	at := firstChangeAt
	for n := leaverReplicas; sleepUntil(c.ctx, at); n++ {
		if err := c.add(n); err != nil {
			c.rec.logf("no new replica: %v", err)
			return
		}
		id := fmt.Sprintf("i-%d", n-leaverReplicas)
		c.store.remove("servers/" + id)
		c.mu.Lock()
		c.left[id] = time.Now()
		c.mu.Unlock()
		c.rec.logf("i-%d is there; %s has removed its entry", n, id)
		at += 2400*time.Millisecond + time.Duration(n*370%700)*time.Millisecond
	}
}

func runLeavers(e *env) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), seedEnd)
	defer cancel()
	c := &leaverCase{env: e, ctx: ctx, store: newStore(), left: map[string]time.Time{}, other: map[string]int{}, byEntry: map[string]int{}}
	defer func() {
		for _, p := range c.entries {
			p.end()
		}
	}()
	storeAddr := e.net.addr(5, 1, portStore)
	if err := serveHTTP(storeAddr, c.store); err != nil {
		return false, err
	}
	for n := range leaverReplicas {
		if err := c.add(n); err != nil {
			return false, err
		}
	}
	c.store.put("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "r-1", "hostname": seedHost, "prefix": "/check/", "route_type": "idempotent", "timeout_ms": 800, "target_latency_ms": 100, "priority": 2, "backend": "desk", "max_attempts": 2, "anonymous": false},
		},
		"backends": []map[string]any{{"name": "desk", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "tenant1", "api_keys": []string{"key1"}, "priority": 1}},
	})
	var controls []netip.AddrPort
	for i := range seedEntries {
		controls = append(controls, e.net.addr(i%3+1, i/3+1, portControl))
		c.fronts = append(c.fronts, e.net.addr(i%3+1, i/3+1, portFrontend))
	}
	write := func(i int, seeds []netip.AddrPort) error {
		return c.entries[i].writeSettings(e.net.ip(i%3+1, i/3+1), i%3, "edge", seeds, storeAddr, "")
	}
	for i := range seedEntries {
		c.entries = append(c.entries, &program{name: fmt.Sprintf("entry-%d", i), binary: e.binary, command: "hosted-entry", dir: e.dir, rec: e.rec})
		if err := write(i, controls[:2]); err != nil {
			return false, err
		}
		if err := c.entries[i].start(); err != nil {
			return false, err
		}
	}
	go c.change()
	var wg sync.WaitGroup
	for i := range seedEntries {
		wg.Go(func() { c.ask(i) })
	}
	if e.trouble {
		sleepUntil(ctx, settingsAt)
		for i := range seedEntries {
			if err := write(i, controls[2:]); err != nil {
				return false, err
			}
		}
		e.rec.logf("the settings files of all entries name entries 2 and 3 as seeds; entry 2 gets SIGHUP")
		c.entries[2].signal(syscall.SIGHUP, false)
		for i := range 2 {
			sleepUntil(ctx, seedRollAt+time.Duration(i)*seedRollGap)
			c.entries[i].term(gracePeriod)
		}
	}
	<-ctx.Done()
	wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	e.rec.logf("all: %d arrivals, %d of them over %v after the replica had left, the latest %v after; by entry %v; answers %v", c.judged, c.late, drainTime, c.latest.Round(time.Millisecond), c.byEntry, c.other)
	if c.judged < 2000 {
		return false, fmt.Errorf("only %d arrivals", c.judged)
	}
	return c.late > 0, nil
}

// ask sends requests to one entry.
func (c *leaverCase) ask(i int) {
	g := &ingress{fronts: []netip.AddrPort{c.fronts[i]}, misses: []int{0}}
	var k *conn
	tick := time.NewTicker(seedInterval)
	defer tick.Stop()
	extra := fmt.Sprintf("%s%s: %d\r\n", key, headerVia, i)
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-tick.C:
		}
		if time.Since(began) < judgeFrom {
			continue
		}
		if k == nil {
			var err error
			if k, err = g.connect(0, 0); err != nil {
				k = nil
				continue
			}
		}
		a := k.request("GET", seedHost, "/check/x", newID(), extra, "", 1500*time.Millisecond)
		c.mu.Lock()
		c.other[fmt.Sprint(a.status)]++
		c.mu.Unlock()
		if a.err != nil {
			k.Close()
			k = nil
		}
	}
}
