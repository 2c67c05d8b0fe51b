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

// Store is the weight store: it holds the manifests and is limited to Rate
// requests a second. Set the exported fields before it serves.
type Store struct {
	Shelf *Shelf
	Rate  float64
	Clock clockwork.Clock

	once    sync.Once
	limiter *rate.Limiter
}

// Made is the answer to a new version.
type Made struct {
	Manifest chunk.Digest `json:"manifest"`
	Chunks   int          `json:"chunks"`
}

// Handler returns the HTTP interface.
func (s *Store) Handler() http.Handler {
	s.once.Do(func() { s.limiter = rate.NewLimiter(rate.Limit(s.Rate), max(1, int(s.Rate))) })
	r := mux.NewRouter()
	r.HandleFunc("/v1/manifests/{digest}", s.manifest).Methods(http.MethodGet)
	r.HandleFunc("/control/versions", addVersion(s.Shelf)).Methods(http.MethodPut)
	return r
}

func (s *Store) manifest(w http.ResponseWriter, r *http.Request) {
	if !s.limiter.AllowN(s.Clock.Now(), 1) {
		serve.TooMany(w, time.Second)
		return
	}
	b, ok := s.Shelf.Manifest(chunk.Digest(mux.Vars(r)["digest"]))
	if !ok {
		serve.Fail(w, http.StatusNotFound, "no such manifest")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

func addVersion(s *Shelf) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		spec, err := serve.Read[Spec](w, r)
		if err != nil {
			serve.Fail(w, http.StatusBadRequest, err.Error())
			return
		}
		d, n, err := s.Add(spec)
		if err != nil {
			serve.Fail(w, http.StatusBadRequest, err.Error())
			return
		}
		serve.JSON(w, http.StatusOK, Made{Manifest: d, Chunks: n})
	}
}
