// Package stage stores chunks of weights in the staging area of an engine, from which
// the engine loads a version. io/process/side gives a Client to io/version/swarm, which
// stages the chunks that it has verified and reads them back for its peers. Memory
// replaces the engine in tests and in bench/burst.
package stage

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/version/chunk"
)

// callTimeout bounds one request to the engine.
const callTimeout = 30 * time.Second

// maxListBytes bounds the engine's answer that lists its chunks.
const maxListBytes = 16 << 20

// Client accesses the staging area of the engine at Address. Set the fields
// before the first call. It is safe for concurrent use.
type Client struct {
	Address netip.AddrPort
	HTTP    http.Client
}

// stagingList is the engine's list of its staged chunks.
type stagingList struct {
	Chunks []chunk.Digest `json:"chunks"`
}

// List returns the digests of the staged chunks.
func (c *Client) List(ctx context.Context) ([]chunk.Digest, error) {
	b, err := c.call(ctx, http.MethodGet, "/v1/staging", nil, maxListBytes, http.StatusOK)
	if err != nil {
		return nil, err
	}
	var l stagingList
	if err := json.Unmarshal(b, &l); err != nil {
		return nil, operr.Wrap("list staging", c.Address.String(), err)
	}
	for _, d := range l.Chunks {
		if err := d.Check(); err != nil {
			return nil, operr.Wrap("list staging", c.Address.String(), err)
		}
	}
	return l.Chunks, nil
}

// Put stages a chunk under its digest. It does not verify the digest.
func (c *Client) Put(ctx context.Context, d chunk.Digest, b []byte) error {
	_, err := c.call(ctx, http.MethodPut, "/v1/staging/"+string(d), b, 0, http.StatusNoContent)
	return err
}

// Get reads a staged chunk. It does not verify the digest.
func (c *Client) Get(ctx context.Context, d chunk.Digest) ([]byte, error) {
	return c.call(ctx, http.MethodGet, "/v1/staging/"+string(d), nil, chunk.MaxChunkSize, http.StatusOK)
}

// Delete removes a staged chunk.
func (c *Client) Delete(ctx context.Context, d chunk.Digest) error {
	_, err := c.call(ctx, http.MethodDelete, "/v1/staging/"+string(d), nil, 0, http.StatusNoContent)
	return err
}

// call sends one request to the engine. It returns the body of a response with status
// want, and an error if that is longer than maxBytes.
func (c *Client) call(ctx context.Context, method, path string, body []byte, maxBytes int64, want int) ([]byte, error) {
	op := "staging " + method
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := "http://" + c.Address.String() + path
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, operr.Wrap(op, c.Address.String(), err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, operr.Wrap(op, c.Address.String(), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != want {
		return nil, operr.Errorf(op, c.Address.String(), "status %d, want %d", resp.StatusCode, want)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err != nil {
		return nil, operr.Wrap(op, c.Address.String(), err)
	}
	if int64(len(b)) > maxBytes {
		return nil, operr.Wrap(op, c.Address.String(), errors.Newf("answer is longer than %d bytes", maxBytes))
	}
	return b, nil
}
