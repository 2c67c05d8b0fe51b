// Package sessn is the protocol by which an entry sends calls to a side and gets
// their answers. It multiplexes concurrent calls over one connection, with flow
// control for each answer and heartbeats that detect a dead connection. Package
// front uses Client at the entry, package gate uses Server at the side.
package sessn

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/conn/fresh"
	"hawthornferry/core/request/calls"
	"hawthornferry/core/version/chunk"
	"hawthornferry/io/conn/frame"
)

// Limits in bytes. MaxBlockSize limits the data of one message, MaxBody a request
// body, MaxAnswer an answer that is buffered whole. CreditWindow is how much of an
// answer the side may send before the entry gives it further credit.
const (
	MaxBlockSize = 64 << 10
	MaxBody      = 8 << 20
	MaxAnswer    = 1 << 20
	CreditWindow = 64 << 10
)

// Channel identifies a call on one connection. Numbers start at 1 and are not used
// again on that connection, so a late answer cannot reach another call.
type Channel uint64

// Start opens a call. Request is the request's id in the logs. EchoedReading is the
// latest reading of the side's clock that the entry has received. Body is the first
// block of the request's body and BodySize the length of the whole body; Body messages
// carry the rest. Ticket is set for a call that may run at most once. Version, when set,
// is the manifest of the only version that may answer. Timeout limits how long the
// call runs at the side. Members encodes the possible owners of the call's key as
// the entry knows them; the side compares it with its own (see calls.OwnerMembers).
type Start struct {
	Channel       Channel            `msgpack:"c"`
	Request       string             `msgpack:"q"`
	EchoedReading fresh.ClockReading `msgpack:"e"`
	Ticket        *calls.Ticket      `msgpack:"t,omitempty"`
	Method        string             `msgpack:"m"`
	Path          string             `msgpack:"p"`
	Header        http.Header        `msgpack:"h"`
	Body          []byte             `msgpack:"b"`
	BodySize      int                `msgpack:"z"`
	Timeout       time.Duration      `msgpack:"o"`
	Version       chunk.Digest       `msgpack:"v,omitempty"`
	Members       string             `msgpack:"k,omitempty"`
}

// Kind returns the message's kind on the wire.
func (*Start) Kind() frame.Kind { return "start" }

// Check returns an error for the first invalid field.
func (m *Start) Check() error {
	if m.Channel == 0 || m.Request == "" || m.Method == "" || m.Path == "" {
		return errors.New("start: channel, request, method or path is empty")
	}
	if m.BodySize < len(m.Body) || m.BodySize > MaxBody {
		return errors.Newf("start: body of %d bytes, want %d to %d", m.BodySize, len(m.Body), MaxBody)
	}
	if m.Timeout <= 0 {
		return errors.Newf("start: timeout %s is not positive", m.Timeout)
	}
	if m.Ticket != nil {
		if err := m.Ticket.Check(); err != nil {
			return errors.Wrap(err, "start")
		}
	}
	return m.EchoedReading.Check()
}

// Body is a block of a request's body after the first. Position is the number of
// bytes before it.
type Body struct {
	Channel  Channel `msgpack:"c"`
	Position int     `msgpack:"p"`
	Data     []byte  `msgpack:"d"`
}

// Kind returns the message's kind on the wire.
func (*Body) Kind() frame.Kind { return "body" }

// Check returns an error for the first invalid field.
func (m *Body) Check() error { return checkBlock("body", m.Channel, m.Position, m.Data) }

// Cancel says that the caller no longer waits for the answer. A once-call that is
// already running continues.
type Cancel struct {
	Channel Channel `msgpack:"c"`
}

// Kind returns the message's kind on the wire.
func (*Cancel) Kind() frame.Kind { return "cancel" }

// Check returns an error for the first invalid field.
func (m *Cancel) Check() error { return checkChannel("cancel", m.Channel) }

// Credit allows the side to send Bytes more bytes of a call's answer.
type Credit struct {
	Channel Channel `msgpack:"c"`
	Bytes   int     `msgpack:"n"`
}

// Kind returns the message's kind on the wire.
func (*Credit) Kind() frame.Kind { return "credit" }

// Check returns an error for the first invalid field.
func (m *Credit) Check() error {
	if m.Bytes <= 0 || m.Bytes > CreditWindow {
		return errors.Newf("credit: %d bytes, want 1 to %d", m.Bytes, CreditWindow)
	}
	return checkChannel("credit", m.Channel)
}

// Query asks for the state of a once-call. With Mark, a side that does not know the
// call records that it must never run. The side replies with a Verdict, followed by
// the answer if the call is running or done.
type Query struct {
	Channel Channel      `msgpack:"c"`
	Ticket  calls.Ticket `msgpack:"t"`
	Mark    bool         `msgpack:"m"`
	// Members is as in Start.
	Members string `msgpack:"k,omitempty"`
}

// Kind returns the message's kind on the wire.
func (*Query) Kind() frame.Kind { return "query" }

// Check returns an error for the first invalid field.
func (m *Query) Check() error {
	if err := m.Ticket.Check(); err != nil {
		return err
	}
	return checkChannel("query", m.Channel)
}

// Verdict answers a Query with the state of the once-call.
type Verdict struct {
	Channel Channel     `msgpack:"c"`
	State   calls.State `msgpack:"s"`
}

// Kind returns the message's kind on the wire.
func (*Verdict) Kind() frame.Kind { return "verdict" }

// Check returns an error for the first invalid field.
func (m *Verdict) Check() error {
	if err := m.State.Check(); err != nil {
		return err
	}
	return checkChannel("verdict", m.Channel)
}

// Head is the HTTP status and header of an answer. Stored is set when the side has
// received the call before and returns the stored answer instead of running it
// again.
type Head struct {
	Channel Channel     `msgpack:"c"`
	Status  int         `msgpack:"s"`
	Header  http.Header `msgpack:"h"`
	Stored  bool        `msgpack:"a,omitempty"`
}

// Kind returns the message's kind on the wire.
func (*Head) Kind() frame.Kind { return "head" }

// Check returns an error for the first invalid field.
func (m *Head) Check() error {
	if m.Status < 200 || m.Status > 999 {
		return errors.Newf("head: status %d", m.Status)
	}
	return checkChannel("head", m.Channel)
}

// Data is a block of an answer's body. Position is the number of bytes before it.
type Data struct {
	Channel  Channel `msgpack:"c"`
	Position int     `msgpack:"p"`
	Data     []byte  `msgpack:"d"`
}

// Kind returns the message's kind on the wire.
func (*Data) Kind() frame.Kind { return "data" }

// Check returns an error for the first invalid field.
func (m *Data) Check() error { return checkBlock("data", m.Channel, m.Position, m.Data) }

// End says that the answer is complete. Size is the length of its body.
type End struct {
	Channel Channel `msgpack:"c"`
	Size    int     `msgpack:"z"`
}

// Kind returns the message's kind on the wire.
func (*End) Kind() frame.Kind { return "end" }

// Check returns an error for the first invalid field.
func (m *End) Check() error {
	if m.Size < 0 {
		return errors.Newf("end: %d bytes", m.Size)
	}
	return checkChannel("end", m.Channel)
}

// Answer is a complete answer of at most MaxBlockSize bytes: Head, Data and End in one
// message.
type Answer struct {
	Channel Channel     `msgpack:"c"`
	Status  int         `msgpack:"s"`
	Header  http.Header `msgpack:"h"`
	Stored  bool        `msgpack:"a,omitempty"`
	Data    []byte      `msgpack:"d"`
}

// Kind returns the message's kind on the wire.
func (*Answer) Kind() frame.Kind { return "answer" }

// Check returns an error for the first invalid field.
func (m *Answer) Check() error {
	if err := checkBlock("answer", m.Channel, 0, m.Data); err != nil {
		return err
	}
	return (&Head{Channel: m.Channel, Status: m.Status}).Check()
}

// split returns the Head, Data and End messages that m is equivalent to.
func (m *Answer) split() []frame.Message {
	head := &Head{Channel: m.Channel, Status: m.Status, Header: m.Header, Stored: m.Stored}
	end := &End{Channel: m.Channel, Size: len(m.Data)}
	if len(m.Data) == 0 {
		return []frame.Message{head, end}
	}
	return []frame.Message{head, &Data{Channel: m.Channel, Data: m.Data}, end}
}

// Refusal ends a call that gets no complete answer. RetryAfter is set when the
// caller can safely repeat the call.
type Refusal struct {
	Channel    Channel       `msgpack:"c"`
	Outcome    calls.Outcome `msgpack:"o"`
	Reason     calls.Reason  `msgpack:"r"`
	RetryAfter time.Duration `msgpack:"a,omitempty"`
}

// Kind returns the message's kind on the wire.
func (*Refusal) Kind() frame.Kind { return "refusal" }

// Check returns an error for the first invalid field.
func (m *Refusal) Check() error {
	if err := m.Outcome.Check(); err != nil {
		return err
	}
	return checkChannel("refusal", m.Channel)
}

func checkChannel(kind string, id Channel) error {
	if id == 0 {
		return errors.Newf("%s: channel is 0", kind)
	}
	return nil
}

func checkBlock(kind string, id Channel, position int, b []byte) error {
	if position < 0 || len(b) > MaxBlockSize {
		return errors.Newf("%s: %d bytes at %d, want at most %d", kind, len(b), position, MaxBlockSize)
	}
	return checkChannel(kind, id)
}

// entryKinds returns the messages that an entry accepts.
func entryKinds() frame.Kinds {
	k := frame.Kinds{}
	k.Register(func() frame.Message { return &Heartbeat{} })
	k.Register(func() frame.Message { return &CacheEvents{} })
	k.Register(func() frame.Message { return &Verdict{} })
	k.Register(func() frame.Message { return &Answer{} })
	k.Register(func() frame.Message { return &Head{} })
	k.Register(func() frame.Message { return &Data{} })
	k.Register(func() frame.Message { return &End{} })
	k.Register(func() frame.Message { return &Refusal{} })
	return k
}

// sideKinds returns the messages that a side accepts.
func sideKinds() frame.Kinds {
	k := frame.Kinds{}
	k.Register(func() frame.Message { return &Start{} })
	k.Register(func() frame.Message { return &Body{} })
	k.Register(func() frame.Message { return &Cancel{} })
	k.Register(func() frame.Message { return &Credit{} })
	k.Register(func() frame.Message { return &Query{} })
	k.Register(func() frame.Message { return &Alive{} })
	return k
}
