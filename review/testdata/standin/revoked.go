package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// deskRoute is a route of the booking service.
func deskRoute(name, prefix, kind string, priority int) map[string]any {
	return map[string]any{
		"name": name, "hostname": "desk.example", "prefix": prefix, "route_type": kind, "timeout_ms": 800, "target_latency_ms": 100,
		"priority": priority, "backend": "booking", "max_attempts": 1,
	}
}

func deskConfig(version int, keys map[string]string, routes ...any) map[string]any {
	tenants := []any{}
	for _, key := range []string{"key-a", "key-b"} {
		if name, ok := keys[key]; ok {
			tenants = append(tenants, map[string]any{"name": name, "api_keys": []string{key}})
		}
	}
	return map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"backends": []any{map[string]any{"name": "booking", "max_conns": 96, "health_path": "/healthz"}},
	}
}

// sentRequest is what the check knows of a caller's request.
type sentRequest struct {
	key string
	at  time.Time
}

// runRevoked takes a key away by a configuration that also adds a route. The trouble is the
// route's rank: 10, where it is 9 otherwise.
func runRevoked(e *env) error {
	s := newStore()
	storeAddr := fmt.Sprintf("%s:%d", e.ip(4, 0), portStore)
	if err := e.listen(storeAddr, s); err != nil {
		return err
	}
	pay, check := deskRoute("hold-pay", "/pay/", "non_idempotent", 1), deskRoute("corner-check", "/check/", "idempotent", 2)
	s.put("op/config", deskConfig(3, map[string]string{"key-a": "tenant-a", "key-b": "tenant-b"}, pay, check))

	var mu sync.Mutex
	sent := map[string]sentRequest{}
	var revokedAt time.Time
	runs := map[string]int{}
	onRun := func(x execution) {
		mu.Lock()
		q, ack := sent[x.id], revokedAt
		runs[x.tenant]++
		mu.Unlock()
		if q.key == "key-b" && !ack.IsZero() && q.at.Sub(ack) > revokeMS*time.Millisecond {
			e.violate("request %s with key-b runs at %s for tenant %q, sent %.3f s after the acknowledgement of the configuration that took key-b away (revoke_ms %d)",
				x.id, x.replica, x.tenant, q.at.Sub(ack).Seconds(), revokeMS)
		}
	}
	if err := e.startPlain(s, "booking", 3, 3, onRun); err != nil {
		return err
	}
	if err := e.startEntries(storeAddr, 3); err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	caller := func(n int, key, path string) {
		defer wg.Done()
		client := &http.Client{Timeout: 2 * time.Second}
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			id := fmt.Sprintf("%s-%d-%d", key, n, i)
			req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s%d", e.ip(1, n%3), portFrontend, path, i), strings.NewReader("hold"))
			if err != nil {
				panic(err)
			}
			req.Host = "desk.example"
			req.Header.Set("Hawthornferry-Attempt-Id", id)
			req.Header.Set("Hawthornferry-Deadline-Ms", "1500")
			req.Header.Set("Authorization", "Token "+key)
			mu.Lock()
			sent[id] = sentRequest{key: key, at: time.Now()}
			mu.Unlock()
			resp, err := client.Do(req)
			if err != nil {
				e.logf("caller: request %s with %s to %s: %v", id, key, path, err)
				continue
			}
			resp.Body.Close()
			e.logf("caller: request %s with %s to %s is answered %d", id, key, path, resp.StatusCode)
		}
	}
	for n := range 3 {
		wg.Add(3)
		go caller(n, "key-a", "/pay/")
		go caller(n+3, "key-b", "/pay/")
		go caller(n+6, "key-a", "/archive/")
	}
	time.Sleep(4 * time.Second)
	rank := 9
	if e.trouble {
		rank = 10
	}
	s.put("op/config", deskConfig(9, map[string]string{"key-a": "tenant-a"}, pay, check, deskRoute("archive", "/archive/", "idempotent", rank)))
	mu.Lock()
	revokedAt = time.Now()
	mu.Unlock()
	e.logf("operator: configuration 9 is acknowledged; it takes key-b away and adds the route archive with priority %d", rank)
	time.Sleep(15 * time.Second)
	close(stop)
	wg.Wait()
	e.logf("runs by tenant: %v", runs)
	if runs["tenant-a"] < 50 || runs["tenant-b"] < 20 {
		return fmt.Errorf("%w: too few requests ran", errNotRun)
	}
	return nil
}
