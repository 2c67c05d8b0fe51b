package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// rawCall sends a request with the given target, byte for byte, on a new connection and returns the
// status of the answer.
func rawCall(addr, method, target, host, id, key, body string) (int, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nHawthornferry-Attempt-Id: %s\r\nHawthornferry-Deadline-Ms: 1500\r\n", method, target, host, id)
	fmt.Fprintf(&b, "Authorization: Token %s\r\n", key)
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := conn.Write([]byte(b.String())); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	return resp.StatusCode, nil
}

// runSlashes sends requests, some with a path that begins with an empty segment. No route is theirs
// at first. The trouble is a configuration that adds a route for all paths of the host.
func runSlashes(e *env) error {
	s := newStore()
	storeAddr := fmt.Sprintf("%s:%d", e.ip(4, 0), portStore)
	if err := e.listen(storeAddr, s); err != nil {
		return err
	}
	keys := map[string]string{"key-a": "tenant-a"}
	pitches := deskRoute("pitches", "/pitches/", "non_idempotent", 1)
	s.put("op/config", deskConfig(3, keys, pitches))
	var mu sync.Mutex
	sent := map[string]string{}
	ran := 0
	onRun := func(x execution) {
		mu.Lock()
		target := sent[x.id]
		ran++
		mu.Unlock()
		if x.target != target {
			e.violate("request %s was sent with the target %q and runs at %s with the target %q", x.id, target, x.replica, x.target)
		}
	}
	if err := e.startPlain(s, "booking", 3, 3, onRun); err != nil {
		return err
	}
	if err := e.startEntries(storeAddr, 3); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	for i := range 120 {
		if i == 30 && e.trouble {
			s.put("op/config", deskConfig(9, keys, pitches, deskRoute("desk", "/", "non_idempotent", 2)))
			e.logf("operator: configuration 9 is acknowledged; it adds a route with the prefix /")
		}
		target := fmt.Sprintf("/pitches/%d?day=%d", i, i%7)
		if i%3 == 2 {
			target = "/" + target
		}
		id := fmt.Sprintf("r%d", i)
		mu.Lock()
		sent[id] = target
		mu.Unlock()
		status, err := rawCall(fmt.Sprintf("%s:%d", e.ip(1, i%3), portFrontend), http.MethodPost, target, "desk.example", id, "key-a", "hold")
		e.logf("caller: request %s, POST %s, is answered %d (error: %v)", id, target, status, err)
		time.Sleep(50 * time.Millisecond)
	}
	if ran < 30 {
		return fmt.Errorf("%w: only %d requests ran", errNotRun, ran)
	}
	return nil
}
