package poison

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Repeats of a request must have the same fingerprint, and all other requests a
// different one: otherwise a caller would be refused for another caller's request.
func TestKeyDistinguishesRequests(t *testing.T) {
	base := Request{Method: "POST", Host: "desk.example", URI: "/draft/?a=1", Caller: "customer-a", Body: []byte("text")}
	tests := []struct {
		name string
		edit func(r *Request)
		same bool
	}{
		{"repeat", func(r *Request) { r.Body = []byte("text") }, true},
		{"method", func(r *Request) { r.Method = "PUT" }, false},
		{"host", func(r *Request) { r.Host = "desk2.example" }, false},
		{"path", func(r *Request) { r.URI = "/drafts/?a=1" }, false},
		{"query", func(r *Request) { r.URI = "/draft/?a=2" }, false},
		{"caller", func(r *Request) { r.Caller = "customer-b" }, false},
		{"body", func(r *Request) { r.Body = []byte("text ") }, false},
		{"no body", func(r *Request) { r.Body = nil }, false},
		{"end of caller moved into body", func(r *Request) { r.Caller, r.Body = "customer", []byte("-atext") }, false},
		{"end of path moved into caller", func(r *Request) { r.URI, r.Caller = "/draft/?a=", "1customer-a" }, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := base
			tc.edit(&r)
			if diff := cmp.Diff(tc.same, r.Fingerprint() == base.Fingerprint()); diff != "" {
				t.Errorf("same key (-want +got):\n%s", diff)
			}
		})
	}
}
