package watch

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"hawthornferry/core/process/fleet"
)

// fakePlatform serves both the configuration and the VM list.
type fakePlatform struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	texts    map[uint64]string
	vms      []fleet.VM
	down     bool
	// forcedRevisions are returned by the next reads, whatever they ask for.
	forcedRevisions []uint64
	// asked records the after parameter of each document read.
	asked []uint64
}

func newPlatform(t *testing.T) (*fakePlatform, netip.AddrPort) {
	t.Helper()
	p := &fakePlatform{changed: make(chan struct{}), texts: map[uint64]string{}}
	srv := httptest.NewServer(p)
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	return p, netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
}

// change calls f and wakes the waiting reads.
func (p *fakePlatform) change(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) promote(revision uint64, text string) {
	p.change(func() {
		p.revision = revision
		p.texts[revision] = text
	})
}

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	down := p.down
	p.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/v1/vms":
		p.mu.Lock()
		defer p.mu.Unlock()
		_ = json.NewEncoder(w).Encode(p.vms)
	default:
		p.document(w, r)
	}
}

func (p *fakePlatform) document(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	end := time.After(wait)
	p.mu.Lock()
	p.asked = append(p.asked, after)
	p.mu.Unlock()
	for {
		p.mu.Lock()
		revision, pinned := p.next()
		text, changed := p.texts[revision], p.changed
		p.mu.Unlock()
		if revision > after || pinned {
			w.Header().Set("X-Revision", fmt.Sprint(revision))
			_, _ = w.Write([]byte(text))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// next returns the revision to serve and whether it is a forced one.
func (p *fakePlatform) next() (uint64, bool) {
	if len(p.forcedRevisions) == 0 {
		return p.revision, false
	}
	pin := p.forcedRevisions[0]
	p.forcedRevisions = p.forcedRevisions[1:]
	return pin, true
}

// document returns a small valid document whose service has the timeout d.
func document(d time.Duration) string {
	return fmt.Sprintf(`[environment]
name = pindan
stage = trial
[region.r]
link = 25Mbit
[zone.z1]
region = r
[zone.z2]
region = r
[service.booking]
kind = plain
timeout = %v
replicas.z1 = 1
`, d)
}
