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

// Limits of a request. A request that gets no response is repeated after a pause,
// since the process may only just have been started.
const (
	requestTimeout = 60 * time.Second
	maxAttempts    = 50
	retryPause     = 100 * time.Millisecond
	maxAnswer      = 16 << 20
)

// sendJSON sends body as JSON, or unchanged when it is a []byte, and decodes the
// JSON response into out unless that is nil.
func sendJSON(ctx context.Context, method string, to netip.AddrPort, path string, body, out any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	b, ok := body.([]byte)
	if !ok && body != nil {
		var err error
		if b, err = json.Marshal(body); err != nil {
			return err
		}
	}
	resp, err := sendWithRetry(ctx, method, "http://"+to.String()+path, b)
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

// sendWithRetry sends a request until there is a response, at most maxAttempts
// times.
func sendWithRetry(ctx context.Context, method, url string, body []byte) (*http.Response, error) {
	var last error
	for range maxAttempts {
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
		case <-time.After(retryPause):
		}
	}
	return nil, last
}

// getJSON sends one GET request without repeating it, and decodes the JSON
// response into out unless that is nil.
func getJSON(ctx context.Context, to netip.AddrPort, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
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

// getTimeout is the time that getJSON waits for the response.
const getTimeout = 2 * time.Second
