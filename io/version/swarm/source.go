package swarm

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/version/pace"
)

// Limits of requests to the store and the origin.
const (
	manifestTimeout = 10 * time.Second
	maxManifest     = 16 << 20
	maxRetryAfter   = 30 * time.Second
	readSize        = 16 << 10
)

// statusError is a response with a status other than 200. RetryAfter is the
// delay that the response asks for, zero if none.
type statusError struct {
	Status     int
	RetryAfter time.Duration
}

func (e *statusError) Error() string {
	return "status " + strconv.Itoa(e.Status) + ", retry after " + e.RetryAfter.String()
}

// source is the Source that a Node uses if none is set. It reads manifests from
// the store and chunks from the origin.
type source struct {
	store  netip.AddrPort
	origin netip.AddrPort
	http   *http.Client
	pacer  *pace.Pacer
}

// Manifest reads a manifest and verifies its digest.
func (s *source) Manifest(ctx context.Context, d chunk.Digest) (chunk.Manifest, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	peer := s.store.String()
	resp, err := s.get(ctx, s.store, "/v1/manifests/"+string(d))
	if err != nil {
		return chunk.Manifest{}, nil, operr.Wrap("read manifest", peer, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxManifest+1))
	if err != nil {
		return chunk.Manifest{}, nil, operr.Wrap("read manifest", peer, err)
	}
	if len(b) > maxManifest {
		return chunk.Manifest{}, nil, operr.Errorf("read manifest", peer, "longer than %d bytes", maxManifest)
	}
	m, err := chunk.Decode(b, d)
	return m, b, operr.Wrap("check manifest", peer, err)
}

// Chunk reads one chunk from the origin at the rate that the links allow and
// checks its size and digest. It calls progress with the size of each piece
// read.
func (s *source) Chunk(ctx context.Context, ref chunk.Ref, progress func(n int)) ([]byte, error) {
	peer := s.origin.String()
	resp, err := s.get(ctx, s.origin, "/v1/chunks/"+string(ref.Digest))
	if err != nil {
		return nil, operr.Wrap("draw chunk", peer, err)
	}
	defer resp.Body.Close()
	b := make([]byte, ref.Size)
	for off := 0; off < len(b); {
		n := min(readSize, len(b)-off)
		if err := s.waitForLinks(ctx, n); err != nil {
			return nil, operr.Wrap("draw chunk", peer, err)
		}
		if _, err := io.ReadFull(resp.Body, b[off:off+n]); err != nil {
			return nil, operr.Wrap("draw chunk", peer, errors.Wrapf(err, "after %d of %d bytes", off, len(b)))
		}
		off += n
		progress(n)
	}
	var one [1]byte
	if n, _ := resp.Body.Read(one[:]); n > 0 {
		return nil, operr.Errorf("draw chunk", peer, "chunk %s is longer than %d bytes", ref.Digest, ref.Size)
	}
	if got := chunk.DigestOf(b); got != ref.Digest {
		return nil, operr.Wrap("verify chunk", peer, errors.Wrapf(errCorrupt, "digest %s, want %s", got, ref.Digest))
	}
	return b, nil
}

// errCorrupt marks data whose digest, offset or length is not what was
// requested.
var errCorrupt = errors.New("corrupt")

// waitForLinks waits until the limit for the origin and the machine's own link
// allow n more bytes.
func (s *source) waitForLinks(ctx context.Context, n int) error {
	if err := s.pacer.Origin.Wait(ctx, n); err != nil {
		return err
	}
	return s.pacer.Down.WaitPriority(ctx, n)
}

// get returns the response to a GET request, or a statusError if the status is
// not 200.
func (s *source) get(ctx context.Context, addr netip.AddrPort, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := s.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, &statusError{Status: resp.StatusCode, RetryAfter: retryAfter(resp)}
}

// retryAfter returns the delay in the Retry-After header, at most
// maxRetryAfter, and zero if it is missing or not a number of seconds.
func retryAfter(resp *http.Response) time.Duration {
	s, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return min(time.Duration(s)*time.Second, maxRetryAfter)
}
