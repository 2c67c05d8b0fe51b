package weight

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"hawthornferry/core/version/chunk"
	"hawthornferry/standin/serve"
)

// Store is the weight store. It serves the manifests of a catalog to all clients
// together at most Rate times a second. Set the exported fields before calling
// Handler.
type Store struct {
	Catalog *Catalog
	Rate    float64
	Clock   clockwork.Clock

	initOnce sync.Once
	limiter  *rate.Limiter
}

// AddedVersion is the response to the request for a new version: the digest of
// its manifest and its number of chunks.
type AddedVersion struct {
	Manifest chunk.Digest `json:"manifest"`
	Chunks   int          `json:"chunks"`
}

// Handler returns the handler of the manifests and of the control call that adds
// a version.
func (s *Store) Handler() http.Handler {
	s.initOnce.Do(func() { s.limiter = rate.NewLimiter(rate.Limit(s.Rate), max(1, int(s.Rate))) })
	r := mux.NewRouter()
	r.HandleFunc("/v1/manifests/{digest}", s.handleManifest).Methods(http.MethodGet)
	r.HandleFunc("/control/versions", addVersion(s.Catalog)).Methods(http.MethodPut)
	return r
}

func (s *Store) handleManifest(w http.ResponseWriter, r *http.Request) {
	if !s.limiter.AllowN(s.Clock.Now(), 1) {
		serve.WriteTooManyRequests(w, time.Second)
		return
	}
	b, ok := s.Catalog.Manifest(chunk.Digest(mux.Vars(r)["digest"]))
	if !ok {
		serve.WriteProblem(w, http.StatusNotFound, "no such manifest")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

func addVersion(s *Catalog) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		spec, err := serve.DecodeJSON[Spec](w, r)
		if err != nil {
			serve.WriteProblem(w, http.StatusBadRequest, err.Error())
			return
		}
		d, n, err := s.Add(spec)
		if err != nil {
			serve.WriteProblem(w, http.StatusBadRequest, err.Error())
			return
		}
		serve.WriteJSON(w, http.StatusOK, AddedVersion{Manifest: d, Chunks: n})
	}
}
