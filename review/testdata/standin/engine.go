package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The model of the case, as the users' sheet has it.
const (
	modelName  = "model-a"
	layerCount = 16
	pieceCount = 48
	pieceBytes = 49152
	originRate = 15e6 / 8
	slots      = 16
)

// The times of an engine.
const (
	stagingTime = time.Millisecond
	eventTime   = 46 * time.Millisecond
	warmTime    = 300 * time.Millisecond
	eventCount  = 20
	// excusedTime is how long a piece may have been wrong when its layer is taken.
	excusedTime = 3 * time.Second
)

func pieceContent(version uint64, num int) []byte {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d/%d", version, num))
	return []byte(strings.Repeat(hex.EncodeToString(sum[:]), pieceBytes/(2*len(sum))))
}

// versionOf names the version to which a staged piece belongs, for the record.
func versionOf(b []byte, num int) string {
	for v := uint64(1); v < 16; v++ {
		if string(b) == string(pieceContent(v, num)) {
			return strconv.FormatUint(v, 10)
		}
	}
	return "none"
}

// piece is a staged piece, and when it was staged as it is.
type piece struct {
	content []byte
	at      time.Time
}

// engine stands in for a model replica.
type engine struct {
	env   *env
	store *store
	id    string
	ip    string
	zone  string
	born  time.Time

	mu sync.Mutex
	// hangs is open while the orders that come hang; it is closed when the hang ends. Nil at other
	// times. hung and answered count the requests that came meanwhile.
	hangs    chan struct{}
	hung     int
	answered int
	staged   map[int]piece
	version  uint64
	// taken says which pieces were wrong when the layers that are in use were taken.
	taken   []string
	seqNo   uint64
	beats   int
	loading bool
	active  int
	queued  int
}

// startHang begins a time in which orders hang: a part of the replica's requests, while its reports,
// streams and staging go on. endHang lets the orders go on, in the order in which they came.
func (g *engine) startHang() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hangs, g.hung, g.answered = make(chan struct{}), 0, 0
	g.env.logf("%s: orders hang from now on", g.id)
}

func (g *engine) endHang() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.hangs)
	g.hangs = nil
	g.env.logf("%s: orders hang no longer; %d orders hung, %d streams ran meanwhile", g.id, g.hung, g.answered)
}

func (g *engine) address() string { return fmt.Sprintf("%s:%d", g.ip, portApp) }

func (g *engine) weights(out map[string]any) {
	out["models"], out["layers"] = []any{}, []any{}
	if g.version > 0 {
		out["models"] = []any{map[string]any{"name": modelName, "version": g.version, "adapters": []string{}}}
		out["layers"] = []any{map[string]any{"from": 0, "target": layerCount, "version": g.version}}
	}
}

func (g *engine) register() {
	g.mu.Lock()
	g.beats++
	out := map[string]any{
		"backend": "svc-llm", "address": g.address(), "zone": g.zone, "version": "1", "slots": slots, "state": "ready",
		"warmup_left_ms": 0, "seq_no": g.beats, "born": g.born.UnixMilli(), "phase": "colocated",
	}
	g.weights(out)
	g.mu.Unlock()
	g.store.put("servers/"+g.id, out)
}

func (g *engine) beat() {
	for {
		g.register()
		time.Sleep(heartbeat)
	}
}

func (g *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/report":
		g.report(w)
	case strings.HasPrefix(r.URL.Path, "/stage-put/"):
		g.put(w, r)
	case strings.HasPrefix(r.URL.Path, "/stage-get/"):
		g.get(w, r)
	case r.URL.Path == "/order":
		g.order(w, r)
	case r.URL.Path == "/healthz":
		w.Header().Set("Hawthornferry-Replica-Id", g.id)
	default:
		g.generate(w, r)
	}
}

func (g *engine) report(w http.ResponseWriter) {
	g.mu.Lock()
	out := map[string]any{
		"phase": "colocated", "busy": g.loading, "seq_no": g.seqNo, "queued": g.queued, "active": g.active,
		"kv_used": 1000 * g.active, "kv_total": 317000, "prefix_handles": 0, "pace": 1.0, "born": g.born.UnixMilli(),
	}
	g.weights(out)
	g.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

func (g *engine) put(w http.ResponseWriter, r *http.Request) {
	num, err := strconv.Atoi(r.URL.Query().Get("num"))
	b, readErr := io.ReadAll(r.Body)
	if err != nil || readErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(stagingTime)
	g.mu.Lock()
	g.staged[num] = piece{b, time.Now()}
	g.mu.Unlock()
	g.env.logf("%s: piece %d is staged, of version %s", g.id, num, versionOf(b, num))
}

func (g *engine) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(stagingTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	if text := r.URL.Query().Get("num"); text != "" {
		num, _ := strconv.Atoi(text)
		b, ok := g.staged[num]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(b.content)
		return
	}
	held := []int{}
	for num := range g.staged {
		held = append(held, num)
	}
	writeJSON(w, http.StatusOK, map[string]any{"held": held})
}

type orderBody struct {
	Operation string  `json:"operation"`
	Model     string  `json:"model"`
	Version   uint64  `json:"version"`
	Mode      string  `json:"mode"`
	Expect    *uint64 `json:"expect"`
}

// order handles a load order. One that hangs goes on when the hang ends; that its caller has given it
// up meanwhile does not take it back.
func (g *engine) order(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Operation != "start" || o.Model != modelName {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	came := time.Now()
	expect := "any"
	if o.Expect != nil {
		expect = strconv.FormatUint(*o.Expect, 10)
	}
	g.env.logf("%s: order for version %d arrives, expecting seq_no %s", g.id, o.Version, expect)
	g.mu.Lock()
	hangs, place := g.hangs, g.hung
	if hangs != nil {
		g.hung++
	}
	g.mu.Unlock()
	if hangs != nil {
		<-hangs
		time.Sleep(time.Duration(place) * 5 * time.Millisecond)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	took := time.Since(came).Milliseconds()
	switch {
	case o.Expect != nil && *o.Expect != g.seqNo, g.loading:
		g.env.logf("%s: order for version %d is answered 409 after %d ms; seq_no is %d", g.id, o.Version, took, g.seqNo)
		w.WriteHeader(http.StatusConflict)
	case o.Version == g.version:
		g.env.logf("%s: order for version %d is in effect already", g.id, o.Version)
	default:
		g.seqNo++
		g.loading = true
		wrong := g.wrongPieces(o.Version)
		g.env.logf("%s: order for version %d is accepted after %d ms; staged pieces that are missing or not of that version, for over %s: %d %v; answered 202 (caller gone: %t)",
			g.id, o.Version, took, excusedTime, len(wrong), wrong, r.Context().Err() != nil)
		go g.load(o.Version, wrong)
		w.WriteHeader(http.StatusAccepted)
	}
}

// wrongPieces lists the staged pieces that are missing, or not of a version for longer than is
// excused.
func (g *engine) wrongPieces(version uint64) []string {
	var out []string
	for num := range pieceCount {
		b, ok := g.staged[num]
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("%d:missing", num))
		case time.Since(b.at) > excusedTime && string(b.content) != string(pieceContent(version, num)):
			out = append(out, fmt.Sprintf("%d:v%s", num, versionOf(b.content, num)))
		}
	}
	return out
}

// load loads the layers after what is running.
func (g *engine) load(version uint64, wrong []string) {
	for {
		g.mu.Lock()
		idle := g.active == 0
		g.mu.Unlock()
		if idle {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(warmTime)
	g.mu.Lock()
	g.version, g.taken, g.loading = version, wrong, false
	g.mu.Unlock()
	g.env.logf("%s: serves version %d", g.id, version)
	g.register()
}

// generate runs a request for a stream.
func (g *engine) generate(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Hawthornferry-Attempt-Id")
	w.Header().Set("Hawthornferry-Attempt-Id", id)
	reject := func(status int) {
		w.Header().Set("Hawthornferry-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if r.Header.Get("Hawthornferry-Expect-Replica") != g.id {
		reject(http.StatusMisdirectedRequest)
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get("Hawthornferry-Deadline-Ms"))
	deadline := time.Now().Add(time.Duration(ms) * time.Millisecond)
	want, _ := strconv.ParseUint(r.Header.Get("Hawthornferry-Expect-Version"), 10, 64)
	g.mu.Lock()
	g.queued++
	for (g.loading || g.active >= slots) && time.Now().Before(deadline) && r.Context().Err() == nil {
		g.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		g.mu.Lock()
	}
	g.queued--
	switch {
	case g.loading || g.version == 0 || g.active >= slots:
		g.mu.Unlock()
		reject(http.StatusServiceUnavailable)
		return
	case want > 0 && want != g.version:
		g.mu.Unlock()
		reject(http.StatusMisdirectedRequest)
		return
	}
	g.active++
	g.answered++
	version, taken := g.version, g.taken
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.active--
		g.mu.Unlock()
	}()
	g.env.logf("%s: request %s runs on version %d", g.id, id, version)
	w.Header().Set("Hawthornferry-Replica-Signature", g.id+"."+id)
	w.Header().Set("Hawthornferry-Weight-Versions", strconv.FormatUint(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= eventCount; i++ {
		if r.Context().Err() != nil || time.Now().After(deadline) {
			return
		}
		if len(taken) > 0 {
			g.env.violate("%s makes a token of request %s on version %d, whose layers were taken while %d of %d staged pieces were wrong: %v",
				g.id, id, version, len(taken), pieceCount, taken)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s v%d\n\n", i, id, version)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventTime)
	}
}

// origin stands in for the origin of the weights.
type origin struct{ link sync.Mutex }

func (o *origin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if strings.HasPrefix(r.URL.Path, "/manifest/") {
		digests := []string{}
		for num := range pieceCount {
			sum := sha256.Sum256(pieceContent(version, num))
			digests = append(digests, hex.EncodeToString(sum[:]))
		}
		writeJSON(w, http.StatusOK, map[string]any{
			"model": modelName, "version": version, "chunk_bytes": pieceBytes, "layers": layerCount, "digests": digests,
		})
		return
	}
	num, err := strconv.Atoi(r.URL.Query().Get("num"))
	if err != nil || num < 0 || num >= pieceCount {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	b := pieceContent(version, num)
	o.link.Lock()
	time.Sleep(time.Duration(float64(len(b)) / originRate * float64(time.Second)))
	o.link.Unlock()
	_, _ = w.Write(b)
}
