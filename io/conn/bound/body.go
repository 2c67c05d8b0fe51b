package bound

import (
	"io"
	"net/http"
)

// body is the body of a response. Its errors say if it was cut off.
type body struct {
	io.ReadCloser
	head *HeadReader
	// left is how many more bytes may be read, and limit how many at the start. limit is 0 if the
	// response itself bounds them or they are not held.
	left, limit int64
}

// NewBody returns the body of a response of a target that was read through head. One that has no
// declared length and is not read as a stream of events is limited to MaxAnswerBytes. Streams are
// bounded by event and by the time that the caller has.
func NewBody(resp *http.Response, head *HeadReader, stream bool) io.ReadCloser {
	b := &body{ReadCloser: resp.Body, head: head}
	if resp.ContentLength < 0 && !stream {
		b.left, b.limit = MaxAnswerBytes, MaxAnswerBytes
	}
	return b
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.limit > 0 && b.left < int64(len(p)) {
		// One byte more shows that the body is too long.
		p = p[:b.left+1]
	}
	n, err := b.ReadCloser.Read(p)
	if b.limit == 0 {
		return n, b.head.Classify(err)
	}
	if b.left -= int64(n); b.left < 0 {
		return 0, Exceeded(Answer, b.limit)
	}
	return n, b.head.Classify(err)
}
