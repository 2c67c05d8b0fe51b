package watch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/inidoc"
)

// Bounds of a read from the platform.
const (
	// watchWait is how long the service may hold a read. A reader whose
	// connection has gone silent is blind until it gives up, so the wait is
	// kept below the 3 s in which a configuration is in force; it costs each
	// reader one read in 2 s.
	watchWait = 2 * time.Second
	// A read may take slack beyond its wait: little while the service answers
	// fast, and more as it slows down, since giving up on a service that is
	// merely slow would leave it unread for as long as it is slow.
	minSlack  = time.Second
	maxSlack  = 16 * time.Second
	maxVMList = 16 << 20
)

// service reads from the platform over HTTP. It is for one goroutine.
type service struct {
	addr   netip.AddrPort
	client *http.Client
	slack  time.Duration
	// read is the bytes of bodies so far.
	read atomic.Uint64
}

func newService(addr netip.AddrPort) *service {
	return &service{addr: addr, client: &http.Client{Transport: &http.Transport{}}, slack: minSlack}
}

func (s *service) close() { s.client.CloseIdleConnections() }

// document waits for a revision above after and returns its text. When none
// comes within the wait it returns revision 0; after 0 answers at once.
func (s *service) document(ctx context.Context, environment string, after uint64, wait time.Duration) ([]byte, uint64, error) {
	path := "/v1/documents/" + url.PathEscape(environment)
	if after > 0 {
		path += fmt.Sprintf("?after=%d&wait=%s", after, wait)
	}
	b, h, err := s.get(ctx, path, wait, inidoc.MaxBytes)
	if err != nil || h == nil {
		return nil, 0, fault.At("read document", s.addr.String(), err)
	}
	revision, err := strconv.ParseUint(h.Get("X-Revision"), 10, 64)
	if err != nil || revision == 0 {
		return nil, 0, fault.Newf("read document", s.addr.String(), "X-Revision %q is not a number above 0", h.Get("X-Revision"))
	}
	return b, revision, nil
}

// vms returns the VM list and the bytes that it took.
func (s *service) vms(ctx context.Context) ([]fleet.VM, int, error) {
	const step = "read VM list"
	b, _, err := s.get(ctx, "/v1/vms", 0, maxVMList)
	if err != nil {
		return nil, 0, fault.At(step, s.addr.String(), err)
	}
	var vms []fleet.VM
	if err := json.Unmarshal(b, &vms); err != nil {
		return nil, 0, fault.At(step, s.addr.String(), err)
	}
	return vms, len(b), nil
}

// get returns the body and the header of a read that the service may hold
// for wait; both are nil for 304.
func (s *service) get(ctx context.Context, path string, wait time.Duration, limit int64) ([]byte, http.Header, error) {
	limited, cancel := context.WithTimeout(ctx, wait+s.slack)
	defer cancel()
	begin := time.Now()
	b, h, err := s.fetch(limited, path, limit)
	s.adapt(time.Since(begin)-wait, err)
	return b, h, err
}

// adapt sets the slack of the next read from how long this one took beyond
// its wait.
func (s *service) adapt(beyond time.Duration, err error) {
	next := 2 * beyond
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		next = 2 * s.slack
	case err != nil:
		next = s.slack
	}
	s.slack = min(max(next, minSlack), maxSlack)
}

func (s *service) fetch(ctx context.Context, path string, limit int64) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.addr.String()+path, nil)
	if err != nil {
		return nil, nil, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return nil, nil, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, nil, errors.Newf("status %d", resp.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	s.read.Add(uint64(len(b)))
	if err == nil && int64(len(b)) > limit {
		err = errors.Newf("answer is longer than %d bytes", limit)
	}
	return b, resp.Header, err
}
