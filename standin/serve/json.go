package serve

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxBody is the largest request body that a stand-in reads, in bytes.
const MaxBody = 8 << 20

// Problem is the JSON body of an error response.
type Problem struct {
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

// WriteJSON writes a response with v as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteProblem writes an error response with a Problem as its body.
func WriteProblem(w http.ResponseWriter, status int, detail string) {
	WriteJSON(w, status, Problem{Status: status, Detail: detail})
}

// WriteTooManyRequests writes a 429 response whose Retry-After header is wait,
// rounded to seconds and at least 1.
func WriteTooManyRequests(w http.ResponseWriter, wait time.Duration) {
	seconds := max(1, int(wait.Round(time.Second)/time.Second))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	WriteProblem(w, http.StatusTooManyRequests, "request rate exceeded")
}

// DecodeJSON decodes a JSON request body into a T. An unknown field is an error.
func DecodeJSON[T any](w http.ResponseWriter, r *http.Request) (T, error) {
	var v T
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody))
	dec.DisallowUnknownFields()
	err := dec.Decode(&v)
	return v, errors.Wrap(err, "decode body")
}

// DecodeJSONLenient decodes a JSON request body into a T and ignores unknown
// fields.
func DecodeJSONLenient[T any](w http.ResponseWriter, r *http.Request) (T, error) {
	var v T
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody)).Decode(&v)
	return v, errors.Wrap(err, "decode body")
}

// AbortConnection aborts the handler, so that the server closes the client's connection
// without completing the response. It doesn't return.
func AbortConnection(http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}
