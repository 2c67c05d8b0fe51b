package front

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// errBodyBudget is returned when the bodies of the requests in flight would exceed
// Limits.MaxBodyBytesTotal.
var errBodyBudget = errors.New("too many bodies in flight")

// budgetReader acquires budget for the bytes of a body as they arrive. If it acquired
// the declared Content-Length up front, a few callers that send slowly, or send
// nothing, could lock out all others.
type budgetReader struct {
	io.Reader
	budget   *semaphore.Weighted
	acquired int64
}

// Read implements io.Reader.
func (r *budgetReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if !r.budget.TryAcquire(int64(n)) {
		return 0, errBodyBudget
	}
	r.acquired += int64(n)
	return n, err
}

func (r *budgetReader) release() { r.budget.Release(r.acquired) }

// limitBodyTime limits the time in which the body of a request must arrive, also if the request
// is refused: http.Server reads the body of such a request for as long as it is allowed to.
func (s *Server) limitBodyTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.Limits.BodyTimeout))
		}
		next.ServeHTTP(w, r)
	})
}

// readBody reads a request's body within the limits on size and time. If that fails, it
// writes the error response itself and returns false. The caller of readBody must call
// release when the call has ended, to give back the body's share of the budget.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), ok bool) {
	budgeted := &budgetReader{Reader: http.MaxBytesReader(w, r.Body, int64(s.Limits.MaxBodyBytes)), budget: s.bodyBudget}
	body, err := io.ReadAll(budgeted)
	if err != nil {
		budgeted.release()
		s.rejectBody(w, err)
		return nil, nil, false
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, budgeted.release, true
}

func (s *Server) rejectBody(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		s.reject(w, http.StatusRequestEntityTooLarge, "the body is too large", 0)
	case errors.Is(err, errBodyBudget):
		s.reject(w, http.StatusServiceUnavailable, errBodyBudget.Error(), retryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		s.reject(w, http.StatusRequestTimeout, "the body came too slowly", 0)
	default:
		s.reject(w, http.StatusBadRequest, "the body could not be read", 0)
	}
}
