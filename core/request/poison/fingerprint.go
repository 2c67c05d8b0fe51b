// Package poison detects requests that crash the targets that run them (poison
// requests), so that an entry can refuse them. Clients repeat such a request under a
// new ID each time, so requests are identified by a fingerprint of what does not
// change. Or requests that are otherwise different crash targets because of a part of
// the prompt that all of them have.
//
// Ledger counts the target starts at which attempts of a request broke off, and
// PartLedger those at which attempts with a part of the prompt did. Package alert holds
// both in each process and exchanges their contents with the other processes as notes;
// entries ask them before they send a request to a target.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"
)

// Fingerprint identifies a request.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal digits.
func (k Fingerprint) String() string { return hex.EncodeToString(k[:]) }

// Request holds the parts that are equal in all repeats of a request. The service is
// not one of them: if a route distributes its requests over several services, the
// repeats go to each of them.
type Request struct {
	Method string
	Host   string
	URI    string
	// Caller is the customer, or empty if callers are not identified.
	Caller string
	Body   []byte
}

// Fingerprint returns the fingerprint of r.
func (r Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, s := range []string{r.Method, r.Host, r.URI, r.Caller} {
		writeLengthPrefix(h, len(s))
		_, _ = io.WriteString(h, s)
	}
	_, _ = h.Write(r.Body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// writeLengthPrefix writes the length of the field that follows. Without it,
// different requests whose fields are divided differently would have the same
// fingerprint.
func writeLengthPrefix(h hash.Hash, n int) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	_, _ = h.Write(b[:])
}
