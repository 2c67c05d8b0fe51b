// Package admin is the administration API of a process: read-only, on its
// own address, so that a burst of callers cannot hide a process from its
// operators and balancer.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"

	"hawthornferry/core/process/operr"
)

// Bounds of a request to the API and of the wait for those in flight at the
// end.
const (
	readTimeout  = 5 * time.Second
	writeTimeout = 30 * time.Second
	endTimeout   = 2 * time.Second
	maxHeader    = 16 << 10
)

// Server answers the administration API. Set the exported fields before Run.
// Ready returns why the process takes no callers, nil when it does.
type Server struct {
	Listener net.Listener
	Status   func() Status
	Ready    func() error
	Metrics  http.Handler
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	srv := &http.Server{
		Handler:           s.routes(),
		ReadTimeout:       readTimeout,
		ReadHeaderTimeout: readTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	stop := context.AfterFunc(ctx, func() {
		end, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		if srv.Shutdown(end) != nil {
			srv.Close()
		}
	})
	defer stop()
	err := srv.Serve(s.Listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return operr.Wrap("serve administration API", s.Listener.Addr().String(), err)
}

func (s *Server) routes() http.Handler {
	r := mux.NewRouter()
	get := r.Methods(http.MethodGet, http.MethodHead).Subrouter()
	get.HandleFunc("/healthz", s.health)
	get.HandleFunc("/readyz", s.ready)
	get.HandleFunc("/v1/status", s.status)
	if s.Metrics != nil {
		get.Handle("/metrics", s.Metrics)
	}
	return r
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	b, err := json.Marshal(s.Status())
	if err != nil {
		writeText(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(b, '\n'))
}

func writeText(w http.ResponseWriter, code int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(code)
	_, _ = w.Write([]byte(text + "\n"))
}
