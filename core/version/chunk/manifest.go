// Package chunk describes the weights of one model version as a manifest of
// chunks, each named by the digest of its content. All packages that store, send
// or load weights use it.
package chunk

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// Limits of a manifest. MaxChunkSize is the most bytes of one chunk, MaxChunks
// the most chunks of a manifest; package spread ignores larger indexes that a
// peer announces.
const (
	MaxChunkSize = 16 << 20
	MaxChunks    = 1 << 16
)

// digestPrefix starts every digest and names its algorithm.
const digestPrefix = "sha256:"

// Digest identifies content: "sha256:" and 64 hexadecimal digits.
type Digest string

// DigestOf returns the digest of b.
func DigestOf(b []byte) Digest {
	s := sha256.Sum256(b)
	return Digest(digestPrefix + hex.EncodeToString(s[:]))
}

// FromHex returns the digest with the given hexadecimal digits, in lower case.
func FromHex(s string) Digest { return Digest(digestPrefix + strings.ToLower(s)) }

// Check returns an error if d does not have the form of a digest.
func (d Digest) Check() error {
	rest, ok := strings.CutPrefix(string(d), digestPrefix)
	if !ok {
		return errors.Newf("digest %q: want prefix %s", string(d), digestPrefix)
	}
	if len(rest) != hex.EncodedLen(sha256.Size) {
		return errors.Newf("digest %q: want 64 hexadecimal digits", string(d))
	}
	if _, err := hex.DecodeString(rest); err != nil {
		return errors.Newf("digest %q: not hexadecimal", string(d))
	}
	return nil
}

// Ref is a chunk of a manifest: its digest and its size in bytes.
type Ref struct {
	Digest Digest `json:"digest" msgpack:"digest"`
	Size   int64  `json:"size" msgpack:"size"`
}

// Manifest lists the chunks of a version in the order of its bytes. Size is
// the sum of the chunks' sizes; ContentDigest is the digest of all bytes.
type Manifest struct {
	Model         string `json:"model" msgpack:"model"`
	Version       string `json:"version" msgpack:"version"`
	Size          int64  `json:"size" msgpack:"size"`
	ContentDigest Digest `json:"whole" msgpack:"whole"`
	Chunks        []Ref  `json:"chunks" msgpack:"chunks"`
}

// Encode returns the canonical bytes of m. An environment document refers to a
// version by their digest.
func (m Manifest) Encode() ([]byte, error) {
	b, err := json.Marshal(m)
	return b, errors.Wrap(err, "encode manifest")
}

// Decode parses the canonical bytes of a manifest and checks that they have the
// digest pinned and that the manifest is consistent.
func Decode(b []byte, pinned Digest) (Manifest, error) {
	if got := DigestOf(b); got != pinned {
		return Manifest{}, errors.Newf("manifest has digest %s, want %s", got, pinned)
	}
	var m Manifest
	if err := json.Unmarshal(b, &m); err != nil {
		return Manifest{}, errors.Wrap(err, "decode manifest")
	}
	return m, m.Check()
}

// Check returns the first inconsistency of the manifest, if any.
func (m Manifest) Check() error {
	if m.Model == "" || m.Version == "" {
		return errors.New("manifest: model or version is empty")
	}
	if len(m.Chunks) == 0 || len(m.Chunks) > MaxChunks {
		return errors.Newf("manifest: %d chunks, want 1 to %d", len(m.Chunks), MaxChunks)
	}
	if err := m.ContentDigest.Check(); err != nil {
		return errors.Wrap(err, "manifest: whole")
	}
	var sum int64
	for i, c := range m.Chunks {
		if c.Size <= 0 || c.Size > MaxChunkSize {
			return errors.Newf("manifest: chunk %d has %d bytes, want 1 to %d", i, c.Size, MaxChunkSize)
		}
		if err := c.Digest.Check(); err != nil {
			return errors.Wrapf(err, "manifest: chunk %d", i)
		}
		sum += c.Size
	}
	if sum != m.Size {
		return errors.Newf("manifest: chunks add up to %d bytes, want %d", sum, m.Size)
	}
	return nil
}
