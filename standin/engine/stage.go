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

// maxStaged bounds the staging area.
const maxStaged = 1 << 16

// stage maps the name under which a chunk was put to the digest of the bytes
// that came. The two differ for a chunk that was corrupted on its way: the
// engine keeps it, and the load finds out.
type stage struct {
	mu    sync.Mutex
	items map[chunk.Digest]chunk.Digest
}

// Staged lists the chunks in the staging area.
type Staged struct {
	Chunks []chunk.Digest `json:"chunks"`
}

func (s *stage) get(d chunk.Digest) (chunk.Digest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.items[d]
	return held, ok
}

// put records a chunk and returns what it replaces, and false when the area
// is full.
func (s *stage) put(d, held chunk.Digest) (chunk.Digest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.items == nil {
		s.items = map[chunk.Digest]chunk.Digest{}
	}
	old, had := s.items[d]
	if !had && len(s.items) >= maxStaged {
		return "", false
	}
	s.items[d] = held
	return old, true
}

func (s *stage) remove(d chunk.Digest) chunk.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.items[d]
	delete(s.items, d)
	return held
}

func (s *stage) list() []chunk.Digest {
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
	serve.JSON(w, http.StatusOK, Staged{Chunks: e.stage.list()})
}

func (e *Engine) putStaged(w http.ResponseWriter, r *http.Request) {
	d := chunk.Digest(mux.Vars(r)["digest"])
	if err := d.Check(); err != nil {
		serve.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	b, err := readChunk(w, r)
	if err != nil {
		serve.Fail(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	held := e.Pool.hold(b)
	old, ok := e.stage.put(d, held)
	if !ok {
		e.Pool.release(held)
		serve.Fail(w, http.StatusInsufficientStorage, "staging is full")
		return
	}
	e.Pool.release(old)
	w.WriteHeader(http.StatusNoContent)
}

// readChunk reads the body into a slice of its exact size when the client
// tells it, since a grown slice would hold up to twice the memory.
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
	held, ok := e.stage.get(chunk.Digest(mux.Vars(r)["digest"]))
	if !ok {
		serve.Fail(w, http.StatusNotFound, "not staged")
		return
	}
	b := e.Pool.bytes(held)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}

func (e *Engine) deleteStaged(w http.ResponseWriter, r *http.Request) {
	e.Pool.release(e.stage.remove(chunk.Digest(mux.Vars(r)["digest"])))
	w.WriteHeader(http.StatusNoContent)
}
