package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of an exchange with a process. A connection that is refused is tried
// again for a while, since the process may only just have been started.
const (
	exchangeTimeout = 60 * time.Second
	exchangeTries   = 50
	exchangePause   = 100 * time.Millisecond
	maxAnswer       = 16 << 20
)

// exchange sends a body as JSON, or as it is when it is bytes, and reads the
// JSON answer into out unless that is nil.
func exchange(ctx context.Context, method string, to netip.AddrPort, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	b, ok := body.([]byte)
	if !ok && body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return err
		}
	}
	resp, err := insist(ctx, method, "http://"+to.String()+path, b)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Newf("%s %s: status %d: %s", to, path, resp.StatusCode, bytes.TrimSpace(answer))
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(answer, out)
}

func insist(ctx context.Context, method, url string, body []byte) (*http.Response, error) {
	var last error
	for range exchangeTries {
		req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			return resp, nil
		}
		last = err
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(exchangePause):
		}
	}
	return nil, last
}

// ask is one short exchange that is not tried again.
func ask(ctx context.Context, to netip.AddrPort, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+to.String()+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("%s %s: status %d", to, path, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(out)
}

// askTimeout bounds a short exchange.
const askTimeout = 2 * time.Second
