package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/version/chunk"
	"hawthornferry/standin/engine"
	"hawthornferry/standin/platf"
	"hawthornferry/standin/weight"
)

// Rollout is the result of a promotion. Serving of Replicas engines served the
// version at the end. Ready is set when all of them did and every entry was
// ready. Seconds is the time that it took, and Bound the least time that the
// links allow: that of one copy over the slowest link on the way to a replica.
// OriginBytes is the number of chunk bytes that the origin sent meanwhile.
type Rollout struct {
	Version     Version `json:"version"`
	Revision    uint64  `json:"revision"`
	Replicas    int     `json:"replicas"`
	Serving     int     `json:"serving"`
	Ready       bool    `json:"ready"`
	Seconds     float64 `json:"seconds"`
	Bound       float64 `json:"bound"`
	OriginBytes int64   `json:"originBytes"`
}

// Served reports whether every replica served the version.
func (r Rollout) Served() bool { return r.Serving == r.Replicas && r.Replicas > 0 }

// Copies returns the bytes that the origin sent as a number of copies of the
// version.
func (r Rollout) Copies() float64 {
	if r.Version.Size == 0 {
		return 0
	}
	return float64(r.OriginBytes) / float64(r.Version.Size)
}

// Watcher promotes a version and watches the replicas until they serve it. Set
// the exported fields before Run.
type Watcher struct {
	Fleet *Fleet
	Dir   string
	Limit time.Duration
	Clock clockwork.Clock
	Out   io.Writer

	version      *Version
	start        time.Time
	originBefore int64
}

// The times between two queries of the replicas and between two progress lines.
const (
	pollInterval  = 200 * time.Millisecond
	printInterval = time.Second
)

// Run promotes the version and waits until every replica serves it and every
// entry is ready, or until Limit has passed. Ready of the result tells the two
// apart.
func (w *Watcher) Run(ctx context.Context, number int) (*Rollout, error) {
	v, err := LoadVersion(w.Dir, number)
	if err != nil {
		return nil, err
	}
	w.version = v
	if w.originBefore, err = w.originBytes(ctx); err != nil {
		return nil, err
	}
	revision, err := w.promote(ctx)
	if err != nil {
		return nil, err
	}
	r := &Rollout{Version: *v, Revision: revision, Bound: w.minSeconds()}
	if err := w.waitServed(ctx, r); err != nil {
		return nil, err
	}
	return r, writeJSON(rolloutPath(w.Dir, number), r)
}

func rolloutPath(dir string, number int) string {
	return filepath.Join(dir, fmt.Sprintf("rollout-%d.json", number))
}

func (w *Watcher) promote(ctx context.Context) (uint64, error) {
	text, err := os.ReadFile(w.version.Document)
	if err != nil {
		return 0, errors.Wrap(err, "read document")
	}
	var p platf.Promotion
	w.start = w.Clock.Now()
	err = sendJSON(ctx, http.MethodPut, w.Fleet.Config, "/control/documents/"+w.Fleet.Environment, text, &p)
	return p.Revision, errors.Wrap(err, "promote")
}

// minSeconds returns the Bound of the rollout.
func (w *Watcher) minSeconds() float64 {
	l := w.Fleet.Links
	return float64(w.version.Size) / float64(min(l.Origin, l.Machine, l.Region))
}

// waitServed queries the replicas until they all serve the version and the
// entries are ready, or until Limit has passed, and updates r.
func (w *Watcher) waitServed(ctx context.Context, r *Rollout) error {
	line := w.start
	for {
		s := w.poll(ctx)
		r.Replicas, r.Serving = s.replicas, s.serving
		r.Seconds = w.Clock.Since(w.start).Seconds()
		sent, err := w.originBytes(ctx)
		if err != nil {
			return err
		}
		r.OriginBytes = sent - w.originBefore
		expired := w.Clock.Since(w.start) >= w.Limit
		r.Ready = r.Served() && w.ready(ctx)
		ended := expired || r.Ready
		if ended || w.Clock.Since(line) >= printInterval {
			line = w.Clock.Now()
			w.printProgress(r, s)
		}
		if ended {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.Clock.After(pollInterval):
		}
	}
}

// replicaStatus is the result of one query of all replicas. stagedChunks is the
// number of chunks in all staging areas.
type replicaStatus struct {
	replicas     int
	serving      int
	stagedChunks int
	zones        []zoneStatus
}

type zoneStatus struct {
	name     string
	replicas int
	serving  int
}

func (w *Watcher) poll(ctx context.Context) replicaStatus {
	var s replicaStatus
	for _, n := range w.Fleet.Engines() {
		serving := w.serves(ctx, n)
		s.add(n.VM.Zone, serving)
		var staged engine.StagedChunks
		if getJSON(ctx, n.Target, "/v1/staging", &staged) == nil {
			s.stagedChunks += len(staged.Chunks)
		}
	}
	return s
}

func (w *Watcher) serves(ctx context.Context, n Node) bool {
	var st engine.State
	err := getJSON(ctx, n.Target, "/v1/state", &st)
	return err == nil && st.Manifest != "" && st.Manifest == w.wantManifest(n)
}

func (w *Watcher) wantManifest(n Node) chunk.Digest { return w.version.Manifests[n.Model] }

func (s *replicaStatus) add(zone string, serving bool) {
	n := 0
	if serving {
		n = 1
	}
	s.replicas++
	s.serving += n
	for i := range s.zones {
		if s.zones[i].name == zone {
			s.zones[i].replicas++
			s.zones[i].serving += n
			return
		}
	}
	s.zones = append(s.zones, zoneStatus{name: zone, replicas: 1, serving: n})
}

func (w *Watcher) printProgress(r *Rollout, s replicaStatus) {
	var zones []string
	for _, z := range s.zones {
		zones = append(zones, fmt.Sprintf("%s %d/%d", z.name, z.serving, z.replicas))
	}
	fmt.Fprintf(w.Out, "rollout %4.1fs  version %d  serving %d/%d (%s)  chunks staged %d  origin %.2f copies\n",
		r.Seconds, r.Version.Number, s.serving, s.replicas, strings.Join(zones, ", "), s.stagedChunks, r.Copies())
}

// ready reports whether every entry's readiness check succeeds.
func (w *Watcher) ready(ctx context.Context) bool {
	for _, n := range w.Fleet.Entries {
		if getJSON(ctx, n.Admin, "/readyz", nil) != nil {
			return false
		}
	}
	return true
}

func (w *Watcher) originBytes(ctx context.Context) (int64, error) {
	var b weight.TransferCount
	err := getJSON(ctx, w.Fleet.Origin, "/control/bytes", &b)
	return b.Bytes, errors.Wrap(err, "origin")
}
