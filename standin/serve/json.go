package serve

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxBody is the most bytes of a JSON request body.
const MaxBody = 8 << 20

// Problem is the JSON body of an error.
type Problem struct {
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

// JSON answers with v.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteProblem answers with a problem.
func WriteProblem(w http.ResponseWriter, status int, detail string) {
	JSON(w, status, Problem{Status: status, Detail: detail})
}

// WriteTooManyRequests answers 429 and asks the client to wait.
func WriteTooManyRequests(w http.ResponseWriter, wait time.Duration) {
	seconds := max(1, int(wait.Round(time.Second)/time.Second))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	WriteProblem(w, http.StatusTooManyRequests, "over the rate")
}

// DecodeJSON decodes a JSON request body of the type T and refuses unknown fields.
func DecodeJSON[T any](w http.ResponseWriter, r *http.Request) (T, error) {
	var v T
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody))
	dec.DisallowUnknownFields()
	err := dec.Decode(&v)
	return v, errors.Wrap(err, "decode body")
}

// DecodeJSONLenient decodes a JSON request body and ignores unknown fields.
func DecodeJSONLenient[T any](w http.ResponseWriter, r *http.Request) (T, error) {
	var v T
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody)).Decode(&v)
	return v, errors.Wrap(err, "decode body")
}

// Cut closes the client's connection without an answer.
func Cut(http.ResponseWriter) {
	panic(http.ErrAbortHandler)
}
