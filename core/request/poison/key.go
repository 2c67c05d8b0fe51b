// Package poison finds requests that crash the targets which run them. Such a
// request comes again under a new id each time, so that requests are known here by
// a fingerprint of what stays the same.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// Key is the fingerprint of a request.
type Key [16]byte

// String is the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Request is what the repeats of a request have in common. The service is left out:
// where a route shares its requests between services, repeats go to each of them.
type Request struct {
	Method string
	Host   string
	URI    string
	// Caller is the customer, empty where callers are not known.
	Caller string
	Body   []byte
}

// Key returns the fingerprint.
func (r Request) Key() Key {
	h := sha256.New()
	for _, s := range []string{r.Method, r.Host, r.URI, r.Caller} {
		writeLength(h, len(s))
		_, _ = io.WriteString(h, s)
	}
	_, _ = h.Write(r.Body)
	return Key(h.Sum(nil)[:len(Key{})])
}

// writeLength keeps fields apart: without it a part of one could pass for a part of
// the next.
func writeLength(h hash.Hash, n int) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:])
}
