package engine

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/gorilla/mux"

	"hawthornferry/core/version/chunk"
	"hawthornferry/standin/serve"
)

// maxStaged is the number of chunks that fit into the staging area.
const maxStaged = 1 << 16

// stagingArea maps the digest under which a chunk was put to the digest of the
// bytes that were received. They differ for a chunk that was corrupted in
// transfer: the engine keeps it, and the load that uses it fails.
type stagingArea struct {
	mu    sync.Mutex
	items map[chunk.Digest]chunk.Digest
}

// StagedChunks is the list of the chunks in the staging area.
type StagedChunks struct {
	Chunks []chunk.Digest `json:"chunks"`
}

func (s *stagingArea) get(d chunk.Digest) (chunk.Digest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	actual, ok := s.items[d]
	return actual, ok
}

// put records a chunk and returns the digest of the bytes that it replaces. It
// returns false when the area is full.
func (s *stagingArea) put(d, actual chunk.Digest) (chunk.Digest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items == nil {
		s.items = map[chunk.Digest]chunk.Digest{}
	}
	replaced, had := s.items[d]
	if !had && len(s.items) >= maxStaged {
		return "", false
	}
	s.items[d] = actual
	return replaced, true
}

func (s *stagingArea) remove(d chunk.Digest) chunk.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	actual := s.items[d]
	delete(s.items, d)
	return actual
}

func (s *stagingArea) list() []chunk.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]chunk.Digest, 0, len(s.items))
	for d := range s.items {
		out = append(out, d)
	}
	slices.Sort(out)
	return out
}

func (e *Engine) listStaged(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, StagedChunks{Chunks: e.staging.list()})
}

func (e *Engine) putStaged(w http.ResponseWriter, r *http.Request) {
	d := chunk.Digest(mux.Vars(r)["digest"])
	if err := d.Check(); err != nil {
		serve.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	b, err := readChunk(w, r)
	if err != nil {
		serve.WriteProblem(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	actual := e.Pool.retain(b)
	replaced, ok := e.staging.put(d, actual)
	if !ok {
		e.Pool.release(actual)
		serve.WriteProblem(w, http.StatusInsufficientStorage, "staging is full")
		return
	}
	e.Pool.release(replaced)
	w.WriteHeader(http.StatusNoContent)
}

// readChunk reads the body. If there is a Content-Length it allocates exactly
// that size, since a slice that grows while reading can take up to twice the
// memory.
func readChunk(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body := http.MaxBytesReader(w, r.Body, chunk.MaxChunkSize)
	if r.ContentLength < 0 || r.ContentLength > chunk.MaxChunkSize {
		return io.ReadAll(body)
	}
	b := make([]byte, r.ContentLength)
	_, err := io.ReadFull(body, b)
	return b, err
}

func (e *Engine) getStaged(w http.ResponseWriter, r *http.Request) {
	actual, ok := e.staging.get(chunk.Digest(mux.Vars(r)["digest"]))
	if !ok {
		serve.WriteProblem(w, http.StatusNotFound, "not staged")
		return
	}
	b := e.Pool.bytes(actual)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}

func (e *Engine) deleteStaged(w http.ResponseWriter, r *http.Request) {
	e.Pool.release(e.staging.remove(chunk.Digest(mux.Vars(r)["digest"])))
	w.WriteHeader(http.StatusNoContent)
}
