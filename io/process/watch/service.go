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
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/inidoc"
)

// Bounds of a read from the platform.
const (
	watchWait   = 10 * time.Second
	readTimeout = watchWait + 5*time.Second
	maxVMList   = 16 << 20
)

// service reads from the platform over HTTP.
type service struct {
	addr   netip.AddrPort
	client *http.Client
}

func newService(addr netip.AddrPort) *service {
	return &service{addr: addr, client: &http.Client{Timeout: readTimeout, Transport: &http.Transport{}}}
}

func (s *service) close() { s.client.CloseIdleConnections() }

// document waits for a revision above after and returns its text. When none
// comes within the wait it returns revision 0; after 0 answers at once.
func (s *service) document(ctx context.Context, environment string, after uint64, wait time.Duration) ([]byte, uint64, error) {
	path := "/v1/documents/" + url.PathEscape(environment)
	if after > 0 {
		path += fmt.Sprintf("?after=%d&wait=%s", after, wait)
	}
	b, h, err := s.get(ctx, path, inidoc.MaxBytes)
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
	b, _, err := s.get(ctx, "/v1/vms", maxVMList)
	if err != nil {
		return nil, 0, fault.At(step, s.addr.String(), err)
	}
	var vms []fleet.VM
	if err := json.Unmarshal(b, &vms); err != nil {
		return nil, 0, fault.At(step, s.addr.String(), err)
	}
	return vms, len(b), nil
}

// get returns the body and the header; both are nil for 304.
func (s *service) get(ctx context.Context, path string, limit int64) ([]byte, http.Header, error) {
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
	if err == nil && int64(len(b)) > limit {
		err = errors.Newf("answer is longer than %d bytes", limit)
	}
	return b, resp.Header, err
}
