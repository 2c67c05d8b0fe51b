// Package admin implements the administration API of an entry or side: a read-only
// HTTP server with the health, readiness, metrics and status of the process. It has
// an address of its own, so that operators and the load balancer reach it when many
// callers occupy the other one. Packages proc and hosted run it; the command status
// is its client.
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

// Limits of a request to the API. shutdownTimeout is how long Run waits for requests
// in flight after ctx ends; then it closes their connections.
const (
	readTimeout     = 5 * time.Second
	writeTimeout    = 30 * time.Second
	shutdownTimeout = 2 * time.Second
	maxHeaderBytes  = 16 << 10
)

// Server serves the administration API. Set the exported fields before Run. Ready
// returns nil if the process accepts callers, else the reason why not. Metrics may be
// nil.
type Server struct {
	Listener net.Listener
	Status   func() Status
	Ready    func() error
	Metrics  http.Handler
}

// Run serves the API on Listener until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	srv := &http.Server{
		Handler:           s.routes(),
		ReadTimeout:       readTimeout,
		ReadHeaderTimeout: readTimeout,
		WriteTimeout:      writeTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if srv.Shutdown(shutdownCtx) != nil {
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
