package front

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// errNoRoom is returned when the bodies in flight have reached their bound.
var errNoRoom = errors.New("too many bodies in flight")

// roomReader takes room for the bytes of a body as they come. Room taken for
// the stated length would let a few callers that send slowly, or nothing,
// shut out all others.
type roomReader struct {
	io.Reader
	room  *semaphore.Weighted
	taken int64
}

// Read reads from the body.
func (r *roomReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if !r.room.TryAcquire(int64(n)) {
		return 0, errNoRoom
	}
	r.taken += int64(n)
	return n, err
}

func (r *roomReader) release() { r.room.Release(r.taken) }

// readBody reads a request's body within the bounds of size and time. It
// answers the caller itself when it fails. Once the call has ended, release
// gives back the room that the body took.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), ok bool) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(f.Limits.BodyTimeout))
	room := &roomReader{Reader: http.MaxBytesReader(w, r.Body, int64(f.Limits.MaxBody)), room: f.bodies}
	body, err := io.ReadAll(room)
	if err != nil {
		room.release()
		f.refuseBody(w, err)
		return nil, nil, false
	}
	_ = rc.SetReadDeadline(time.Time{})
	return body, room.release, true
}

func (f *Front) refuseBody(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		f.reject(w, http.StatusRequestEntityTooLarge, "the body is too large", 0)
	case errors.Is(err, errNoRoom):
		f.reject(w, http.StatusServiceUnavailable, errNoRoom.Error(), retryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		f.reject(w, http.StatusRequestTimeout, "the body came too slowly", 0)
	default:
		f.reject(w, http.StatusBadRequest, "the body could not be read", 0)
	}
}
