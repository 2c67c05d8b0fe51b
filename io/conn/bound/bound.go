// Package bound defines how much may be read of what another machine sends, and cuts off what
// exceeds that. A faulty machine may send bytes without end; whoever reads them would run out
// of memory, or be busy with them until its caller has given up. All packages that read from
// other machines take their limits from here. A connection on which a read was cut off must be
// closed: what follows on it has no meaning.
//
// docs/design/bounded-reads.md lists the readers with their limits.
package bound

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Name names a bound in logs and metrics.
type Name string

// The bounds. Format is exceeded by what is not valid at all, however short it is.
const (
	Format Name = "format"
	Head   Name = "head"
	Event  Name = "event"
	Filler Name = "filler"
	Answer Name = "answer"
	Frame  Name = "frame"
	Hello  Name = "hello"
	Reply  Name = "reply"
	List   Name = "storeList"
	// Elements is that of a message with more elements than it may have, or than it has bytes.
	Elements Name = "elements"
)

// Limits of the heads of HTTP requests and responses.
const (
	// MaxHeadBytes is twice the max_header_bytes that configurations allow callers.
	MaxHeadBytes = 32 << 10
	// MaxHeadLines bounds the lines of the heads of one response, with those of interim
	// responses. Proxies reject requests and responses with more than 100 fields. Each line
	// takes some hundred bytes of memory, however short it is.
	MaxHeadLines = 256
)

// MaxBodyBytes bounds the body of a caller's request if the configuration doesn't.
const MaxBodyBytes = 16 << 20

// Limits of the answers of targets.
const (
	// MaxEventBytes bounds one event of a stream. Its last one may repeat a whole answer, some
	// hundred KiB.
	MaxEventBytes = 1 << 20
	// MaxFillerBytes bounds the blank lines and the blocks of lines without an ID or data that
	// follow each other in a stream. A short comment every 100 ms, which counts for 32 bytes,
	// keeps a connection open for more than 3 minutes.
	MaxFillerBytes = 64 << 10
	// MaxAnswerBytes bounds an answer that is no stream and does not declare its length.
	MaxAnswerBytes = 16 << 20
)

// Limits of the messages of peers.
const (
	// MaxFrameBytes bounds a message. A chunk is sent in blocks, and a state in parts of about 256
	// KiB, to which one value of the store may add 1 MiB before it is compressed.
	MaxFrameBytes = 1 << 20
	// MaxHelloBytes bounds the first message of a connection. It has a few names of some tens of
	// bytes.
	MaxHelloBytes = 4 << 10
	// FrameTimeout limits the time from the first byte of a message to its last. 1 MiB takes a
	// third of it on a link of 1 Mbit/s.
	FrameTimeout = 30 * time.Second
	// MaxStateBytes bounds the platform's state, decoded, as a list of the store in pages and as a
	// reply of a peer in parts. That of 10,000 targets has 4 MiB.
	MaxStateBytes = 16 << 20
)

// Limit is a bound on a whole body, in bytes.
type Limit struct {
	Name  Name
	Bytes int64
}

// The limits of the responses of the platform's store, of engines and of the origin.
var (
	// A page of the store has about 500 items or 1 MB, and one item may have 1 MiB more. JSON and
	// base64 add a third.
	StorePage = Limit{Name: "storePage", Bytes: 4 << 20}
	// A watch returns all changes since the one before, of which a process may have missed some
	// seconds.
	StoreChanges = Limit{Name: "storeChanges", Bytes: 8 << 20}
	// An engine reports a few models and their layers in some hundred bytes.
	EngineReport = Limit{Name: "engineReport", Bytes: 64 << 10}
	// A version has at most 65,536 chunks; each number takes 6 bytes.
	EngineStaging = Limit{Name: "engineStaging", Bytes: 512 << 10}
	// The answer to an order, or to a chunk that was staged, says at the most why it failed.
	EngineAnswer = Limit{Name: "engineAnswer", Bytes: 64 << 10}
	// A manifest has at most 65,536 digests of 64 hexadecimal digits.
	Manifest = Limit{Name: "manifest", Bytes: 5 << 20}
)

// ChunkOf returns the limit of a chunk of the given size.
func ChunkOf(size int64) Limit { return Limit{Name: "chunk", Bytes: size} }

// CutOffError reports that a read was cut off at a bound.
type CutOffError struct {
	Bound  Name
	Reason string
}

// Error returns the bound and the reason.
func (e *CutOffError) Error() string { return string(e.Bound) + ": " + e.Reason }

// Exceeded returns the error for more than limit bytes.
func Exceeded(n Name, limit int64) error {
	return &CutOffError{Bound: n, Reason: fmt.Sprintf("more than %d bytes", limit)}
}

// firstRead is the most memory in bytes that the declared length of a body makes a reader
// allocate before any of the body has arrived. Chunks of weights fit in.
const firstRead = 64 << 10

// ReadAll reads a body of the declared length, below 0 for none, to its end. It fails if the body
// is longer than the limit, or if what is read is not valid HTTP. A short body of declared length
// is read into memory of that size, since a buffer that grows to it leaves several times as much
// garbage.
func ReadAll(r io.Reader, declared int64, l Limit) ([]byte, error) {
	if declared > l.Bytes {
		return nil, Exceeded(l.Name, l.Bytes)
	}
	var buf bytes.Buffer
	if declared > 0 {
		buf.Grow(int(min(declared, firstRead)) + bytes.MinRead)
	}
	if _, err := buf.ReadFrom(io.LimitReader(r, l.Bytes+1)); err != nil {
		return nil, Classify(err)
	}
	if int64(buf.Len()) > l.Bytes {
		return nil, Exceeded(l.Name, l.Bytes)
	}
	return buf.Bytes(), nil
}

// Invalid returns the error for data that is not valid.
func Invalid(reason string) error { return &CutOffError{Bound: Format, Reason: reason} }

// Of returns the bound at which a read was cut off. It returns false if err has another
// cause.
func Of(err error) (Name, bool) {
	var cut *CutOffError
	if !errors.As(err, &cut) {
		return "", false
	}
	return cut.Bound, true
}

// What http.Transport says of a response whose head is too long, or is not valid. It has no
// types for these errors.
const (
	tooLongText = "server response headers exceeded"
	invalidText = "malformed HTTP"
)

// ClassifyCall turns the error of an http.Client whose transport limits heads to MaxHeadBytes
// into a CutOffError, if the head of the response exceeded that or was not valid.
func ClassifyCall(err error) error {
	var call *url.Error
	if !errors.As(err, &call) {
		return err
	}
	var invalid textproto.ProtocolError
	switch text := call.Err.Error(); {
	case strings.Contains(text, tooLongText):
		return Exceeded(Head, MaxHeadBytes)
	case errors.As(err, &invalid), strings.Contains(text, invalidText):
		return Invalid(text)
	default:
		return err
	}
}

// Classify turns the error of a parser that has read from a connection into a CutOffError,
// unless the connection ended or failed.
func Classify(err error) error {
	var failure net.Error
	switch _, cut := Of(err); {
	case err == nil || cut:
		return err
	case errors.As(err, &failure):
		return err
	case errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, io.ErrClosedPipe, net.ErrClosed, context.Canceled, context.DeadlineExceeded):
		return err
	default:
		return Invalid(err.Error())
	}
}
