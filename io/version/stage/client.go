// Package stage keeps chunks in the staging area of a model engine.
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

	"hawthornferry/core/process/fault"
	"hawthornferry/core/version/chunk"
)

// Timeout bounds one call to the engine.
const Timeout = 30 * time.Second

// maxList bounds the answer of the engine's list of chunks.
const maxList = 16 << 20

// Client is the staging area of the engine at Engine. Set the fields before
// the first call; it is safe for concurrent use.
type Client struct {
	Engine netip.AddrPort
	HTTP   http.Client
}

type listing struct {
	Chunks []chunk.Digest `json:"chunks"`
}

// List returns the digests of the chunks that the engine holds.
func (c *Client) List(ctx context.Context) ([]chunk.Digest, error) {
	b, err := c.call(ctx, http.MethodGet, "/v1/staging", nil, maxList, http.StatusOK)
	if err != nil {
		return nil, err
	}
	var l listing
	if err := json.Unmarshal(b, &l); err != nil {
		return nil, fault.At("list staging", c.Engine.String(), err)
	}
	for _, d := range l.Chunks {
		if err := d.Check(); err != nil {
			return nil, fault.At("list staging", c.Engine.String(), err)
		}
	}
	return l.Chunks, nil
}

// Put hands a chunk to the engine.
func (c *Client) Put(ctx context.Context, d chunk.Digest, b []byte) error {
	_, err := c.call(ctx, http.MethodPut, "/v1/staging/"+string(d), b, 0, http.StatusNoContent)
	return err
}

// Get returns a chunk that the engine holds.
func (c *Client) Get(ctx context.Context, d chunk.Digest) ([]byte, error) {
	return c.call(ctx, http.MethodGet, "/v1/staging/"+string(d), nil, chunk.MaxChunkSize, http.StatusOK)
}

// Delete has the engine drop a chunk.
func (c *Client) Delete(ctx context.Context, d chunk.Digest) error {
	_, err := c.call(ctx, http.MethodDelete, "/v1/staging/"+string(d), nil, 0, http.StatusNoContent)
	return err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, limit int64, want int) ([]byte, error) {
	step := "staging " + method
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	url := "http://" + c.Engine.String() + path
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fault.At(step, c.Engine.String(), err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, fault.At(step, c.Engine.String(), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != want {
		return nil, fault.Newf(step, c.Engine.String(), "status %d, want %d", resp.StatusCode, want)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, fault.At(step, c.Engine.String(), err)
	}
	if int64(len(b)) > limit {
		return nil, fault.At(step, c.Engine.String(), errors.Newf("answer is longer than %d bytes", limit))
	}
	return b, nil
}
