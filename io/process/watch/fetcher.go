package watch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/inidoc"
	"hawthornferry/core/process/operr"
	"hawthornferry/io/conn/bound"
)

// Timeouts and limits of reads from the platform.
const (
	// watchWait is how long the service may hold a read until there is a newer
	// revision. A reader whose connection has silently failed learns nothing
	// until it gives up, so this must stay below the 3 s within which a
	// configuration has to be in force. It costs each reader one request in 2
	// s.
	watchWait = 2 * time.Second
	// slack is how much longer than its wait a read may take. It is small while
	// the service answers fast and grows as the service slows down: with a
	// fixed timeout a service that is merely slow could not be read at all.
	minSlack = time.Second
	maxSlack = 16 * time.Second
	// maxVMList is the largest VM list in bytes that is read.
	maxVMList = 16 << 20
)

// fetcher reads from the platform over HTTP. It must be used from one
// goroutine.
type fetcher struct {
	addr   netip.AddrPort
	client *http.Client
	slack  time.Duration
	// bytesRead is the total size of the response bodies.
	bytesRead atomic.Uint64
}

func newFetcher(addr netip.AddrPort) *fetcher {
	return &fetcher{addr: addr, client: &http.Client{Transport: bound.NewTransport(net.Dialer{})}, slack: minSlack}
}

func (s *fetcher) close() { s.client.CloseIdleConnections() }

// document waits for a revision above after and returns its text. If none comes
// within the wait, it returns revision 0. With after 0 the service answers at
// once.
func (s *fetcher) document(ctx context.Context, environment string, after uint64, wait time.Duration) ([]byte, uint64, error) {
	path := "/v1/documents/" + url.PathEscape(environment)
	if after > 0 {
		path += fmt.Sprintf("?after=%d&wait=%s", after, wait)
	}
	b, h, err := s.get(ctx, path, wait, inidoc.MaxBytes)
	if err != nil || h == nil {
		return nil, 0, operr.Wrap("read document", s.addr.String(), err)
	}
	revision, err := strconv.ParseUint(h.Get("X-Revision"), 10, 64)
	if err != nil || revision == 0 {
		return nil, 0, operr.Errorf("read document", s.addr.String(), "X-Revision %q is not a number above 0", h.Get("X-Revision"))
	}
	return b, revision, nil
}

// vms returns the VM list and its size in bytes.
func (s *fetcher) vms(ctx context.Context) ([]fleet.VM, int, error) {
	const step = "read VM list"
	b, _, err := s.get(ctx, "/v1/vms", 0, maxVMList)
	if err != nil {
		return nil, 0, operr.Wrap(step, s.addr.String(), err)
	}
	var vms []fleet.VM
	if err := json.Unmarshal(b, &vms); err != nil {
		return nil, 0, operr.Wrap(step, s.addr.String(), err)
	}
	return vms, len(b), nil
}

// get returns the body and the header of a read that the service may hold for
// wait. Both are nil if the service answers 304.
func (s *fetcher) get(ctx context.Context, path string, wait time.Duration, limit int64) ([]byte, http.Header, error) {
	limited, cancel := context.WithTimeout(ctx, wait+s.slack)
	defer cancel()
	begin := time.Now()
	b, h, err := s.fetch(limited, path, limit)
	s.adjustSlack(time.Since(begin)-wait, err)
	return b, h, err
}

// adjustSlack sets the slack of the next read from how much longer than its
// wait this one took.
func (s *fetcher) adjustSlack(beyond time.Duration, err error) {
	next := 2 * beyond
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		next = 2 * s.slack
	case err != nil:
		next = s.slack
	}
	s.slack = min(max(next, minSlack), maxSlack)
}

func (s *fetcher) fetch(ctx context.Context, path string, limit int64) ([]byte, http.Header, error) {
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
	s.bytesRead.Add(uint64(len(b)))
	if err == nil && int64(len(b)) > limit {
		err = errors.Newf("answer is longer than %d bytes", limit)
	}
	return b, resp.Header, err
}
