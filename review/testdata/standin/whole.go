package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	engineCount = 12
	entryCount  = 3
	callerCount = 220
	// hangTime is how long the orders at some replicas hang, from hangDelay after a version is named;
	// the next one is named after versionGap.
	hangDelay  = 2 * time.Second
	versionGap = 3 * time.Second
	hangTime   = 7 * time.Second
	// settleTime is how long the replicas have afterwards to serve the newer version.
	settleTime = 5 * time.Second
)

// hangingEngines are the replicas at which orders hang in each round: two of twelve, among those
// that are ordered first to load.
var hangingEngines = [][]int{{1, 6}, {1, 9}, {1, 6}, {1, 9}, {1, 6}, {1, 9}}

func zoneOf(n int) string { return fmt.Sprintf("z%d", n%3+1) }

// llmConfig is the configuration of the case.
func llmConfig(originAddr string) map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "draft", "hostname": "desk.example", "prefix": "/draft/", "route_type": "streaming", "timeout_ms": 6000,
			"target_latency_ms": 500, "target_gap_ms": 400, "priority": 1, "backend": "svc-llm", "max_attempts": 2,
			"stream_resume": true, "session_affinity": true,
		}},
		"tenants": []any{map[string]any{"name": "tenant-a", "api_keys": []string{"key-a"}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"backends": []any{
			map[string]any{"name": "svc-llm", "max_conns": 354, "health_path": "/healthz", "engine": map[string]any{
				"slots": slots, "stride": 5, "kv_capacity_tokens": 317000, "step_ms": 9.27, "per_seq_ms": 0.0232, "context_per_k": 0.0322, "read_per_s": 20700,
				"usual":  map[string]any{"prompt": 800, "answer": 100},
				"models": []any{map[string]any{"name": modelName, "layers": layerCount, "chunks": pieceCount, "chunk_bytes": pieceBytes}},
			}},
			map[string]any{"name": "svc-weights", "origin": originAddr, "zone": "z1", "link_mbps": 15, "max_conns": 48},
		},
	}
}

func (e *env) nameVersion(s *store, version int) {
	s.put("op/version/"+modelName, map[string]any{"model": modelName, "version": version})
	e.logf("operator: version %d of %s is named and acknowledged", version, modelName)
}

// runWhole names two versions in succession, up to six times.
func runWhole(e *env) error {
	s := newStore()
	storeAddr := fmt.Sprintf("%s:%d", e.ip(4, 0), portStore)
	originAddr := fmt.Sprintf("%s:%d", e.ip(5, 0), portReplica)
	if err := e.listen(storeAddr, s); err != nil {
		return err
	}
	if err := e.listen(originAddr, &origin{}); err != nil {
		return err
	}
	s.put("op/config", llmConfig(originAddr))
	s.put("op/version/"+modelName, map[string]any{"model": modelName, "version": 1})
	var engines []*engine
	for n := range engineCount {
		g := &engine{
			env: e, store: s, id: fmt.Sprintf("i-engine%d", n), ip: e.ip(2, n), zone: zoneOf(n), born: time.Now(),
			staged: map[int]piece{}, version: 1,
		}
		for num := range pieceCount {
			g.staged[num] = piece{content: pieceContent(1, num)}
		}
		engines = append(engines, g)
		if err := e.listen(g.address(), g); err != nil {
			return err
		}
		go g.beat()
	}
	var seeds []string
	for n := range entryCount {
		seeds = append(seeds, fmt.Sprintf("%s:%d", e.ip(1, n), portControl))
	}
	for n := range entryCount {
		m := machine{name: fmt.Sprintf("entry%d", n), class: "edge", ip: e.ip(1, n), zone: zoneOf(n), seeds: seeds, store: storeAddr}
		if err := e.addProcess(&process{name: m.name, command: "hosted-entry", settings: m.toml()}).start(); err != nil {
			return err
		}
	}
	for n := range engineCount {
		m := machine{name: fmt.Sprintf("side%d", n), class: "side", ip: e.ip(2, n), zone: zoneOf(n), seeds: seeds, store: storeAddr, backend: "svc-llm"}
		if err := e.addProcess(&process{name: m.name, command: "hosted-side", settings: m.toml()}).start(); err != nil {
			return err
		}
	}
	for n := range entryCount {
		if !e.awaitReady(e.ip(1, n), 10*time.Second) {
			return fmt.Errorf("%w: entry %d is not ready", errNotRun, n)
		}
	}
	time.Sleep(3 * time.Second)
	var served, failed atomic.Int64
	stop := make(chan struct{})
	for n := range callerCount {
		go e.streamCaller(n, stop, &served, &failed)
	}
	time.Sleep(3 * time.Second)
	for round, chosen := range hangingEngines {
		var hanging []*engine
		for _, n := range chosen {
			hanging = append(hanging, engines[n])
		}
		e.nameTwoVersions(s, hanging, 2+2*round)
		if e.violated() {
			break
		}
	}
	close(stop)
	e.logf("callers: %d streams whole, %d not", served.Load(), failed.Load())
	if served.Load() < 50 {
		return fmt.Errorf("%w: only %d streams were served", errNotRun, served.Load())
	}
	return nil
}

// nameTwoVersions names a version and, three seconds later, the next one. The trouble is that orders
// hang at some replicas meanwhile.
func (e *env) nameTwoVersions(s *store, hanging []*engine, version int) {
	e.nameVersion(s, version)
	time.Sleep(hangDelay)
	if e.trouble {
		for _, g := range hanging {
			g.startHang()
		}
	}
	time.Sleep(versionGap - hangDelay)
	e.nameVersion(s, version+1)
	time.Sleep(hangTime + hangDelay - versionGap)
	if e.trouble {
		for _, g := range hanging {
			g.endHang()
		}
	}
	time.Sleep(settleTime)
}

// streamCaller asks for one stream after the other.
func (e *env) streamCaller(n int, stop chan struct{}, served, failed *atomic.Int64) {
	client := &http.Client{Timeout: 6500 * time.Millisecond}
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("c%dr%d", n, i)
		req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/draft/%d", e.ip(1, n%entryCount), portFrontend, i), strings.NewReader("draft "+id))
		if err != nil {
			panic(err)
		}
		req.Host = "desk.example"
		req.Header.Set("Hawthornferry-Attempt-Id", id)
		req.Header.Set("Hawthornferry-Model", modelName)
		req.Header.Set("Hawthornferry-Token-Usage", "400,40")
		req.Header.Set("Hawthornferry-Prompt-Prefix", fmt.Sprintf("%x:40,%x:360", 7, 1000*n+i))
		req.Header.Set("Hawthornferry-Deadline-Ms", "6000")
		req.Header.Set("Authorization", "Token key-a")
		resp, err := client.Do(req)
		if err != nil {
			failed.Add(1)
			e.logf("caller: request %s: %v", id, err)
			continue
		}
		events := 0
		in := bufio.NewScanner(resp.Body)
		for in.Scan() {
			if strings.HasPrefix(in.Text(), "id:") {
				events++
			}
		}
		resp.Body.Close()
		e.logf("caller: request %s is answered %d, %d events, versions %s", id, resp.StatusCode, events, resp.Header.Get("Hawthornferry-Weight-Versions"))
		if resp.StatusCode == http.StatusOK && events == eventCount && in.Err() == nil {
			served.Add(1)
		} else {
			failed.Add(1)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
