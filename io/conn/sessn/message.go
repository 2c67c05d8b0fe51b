// Package sessn carries calls between an entry and a side: many calls at once
// over one connection, each with its own flow control, under heartbeats that
// show a silent connection.
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

// Bounds of what one message or call may hold, in bytes. Window is how much
// of a streamed answer may be on its way before the entry gives credit.
const (
	BlockSize = 64 << 10
	MaxBody   = 8 << 20
	MaxAnswer = 1 << 20
	MaxHeader = 64 << 10
	Window    = 64 << 10
)

// Channel numbers a call on one connection, from 1. Another connection gives
// the same call another number, so an answer cannot cross to another caller.
type Channel uint64

// Start opens a call. Request names it in the logs. Body holds the first block of the request's body and
// Size its whole length; Body messages carry the rest. Ticket is set for a
// call that may run at most once. Version, when set, is the only manifest
// that may answer. Timeout bounds the call at the side. Members is what the
// entry believes of a key's possible owners.
type Start struct {
	Channel Channel            `msgpack:"c"`
	Request string             `msgpack:"q"`
	Echo    fresh.ClockReading `msgpack:"e"`
	Ticket  *calls.Ticket      `msgpack:"t,omitempty"`
	Method  string             `msgpack:"m"`
	Path    string             `msgpack:"p"`
	Header  http.Header        `msgpack:"h"`
	Body    []byte             `msgpack:"b"`
	Size    int                `msgpack:"z"`
	Timeout time.Duration      `msgpack:"o"`
	Version chunk.Digest       `msgpack:"v,omitempty"`
	Members string             `msgpack:"k,omitempty"`
}

// Kind names the message.
func (*Start) Kind() frame.Kind { return "start" }

// Check reports the first field that is out of its domain.
func (m *Start) Check() error {
	if m.Channel == 0 || m.Request == "" || m.Method == "" || m.Path == "" {
		return errors.New("start: channel, request, method or path is empty")
	}
	if m.Size < len(m.Body) || m.Size > MaxBody {
		return errors.Newf("start: body of %d bytes, want %d to %d", m.Size, len(m.Body), MaxBody)
	}
	if m.Timeout <= 0 {
		return errors.Newf("start: timeout %s is not positive", m.Timeout)
	}
	if m.Ticket != nil {
		if err := m.Ticket.Check(); err != nil {
			return errors.Wrap(err, "start")
		}
	}
	return m.Echo.Check()
}

// Body is a further block of a request's body. Position is the number of
// bytes before it.
type Body struct {
	Channel  Channel `msgpack:"c"`
	Position int     `msgpack:"p"`
	Data     []byte  `msgpack:"d"`
}

// Kind names the message.
func (*Body) Kind() frame.Kind { return "body" }

// Check reports the first field that is out of its domain.
func (m *Body) Check() error { return checkBlock("body", m.Channel, m.Position, m.Data) }

// Cancel says that nobody waits for the answer. A once-call that runs
// goes on.
type Cancel struct {
	Channel Channel `msgpack:"c"`
}

// Kind names the message.
func (*Cancel) Kind() frame.Kind { return "cancel" }

// Check reports the first field that is out of its domain.
func (m *Cancel) Check() error { return checkCall("cancel", m.Channel) }

// Credit allows the side to send Bytes more of a call's answer.
type Credit struct {
	Channel Channel `msgpack:"c"`
	Bytes   int     `msgpack:"n"`
}

// Kind names the message.
func (*Credit) Kind() frame.Kind { return "credit" }

// Check reports the first field that is out of its domain.
func (m *Credit) Check() error {
	if m.Bytes <= 0 || m.Bytes > Window {
		return errors.Newf("credit: %d bytes, want 1 to %d", m.Bytes, Window)
	}
	return checkCall("credit", m.Channel)
}

// Query asks what became of a once-call. With Mark the side marks a call
// that it does not know, so that it never runs. The side answers with a
// Verdict, and with the answer when there is or will be one.
type Query struct {
	Channel Channel      `msgpack:"c"`
	Ticket  calls.Ticket `msgpack:"t"`
	Mark    bool         `msgpack:"m"`
	// Members is as in Start.
	Members string `msgpack:"k,omitempty"`
}

// Kind names the message.
func (*Query) Kind() frame.Kind { return "query" }

// Check reports the first field that is out of its domain.
func (m *Query) Check() error {
	if err := m.Ticket.Check(); err != nil {
		return err
	}
	return checkCall("query", m.Channel)
}

// Verdict answers a Query.
type Verdict struct {
	Channel Channel     `msgpack:"c"`
	State   calls.State `msgpack:"s"`
}

// Kind names the message.
func (*Verdict) Kind() frame.Kind { return "verdict" }

// Check reports the first field that is out of its domain.
func (m *Verdict) Check() error {
	if err := m.State.Check(); err != nil {
		return err
	}
	return checkCall("verdict", m.Channel)
}

// Head is the status and header of an answer. Again is set when the call had
// come before and did not run again for this answer.
type Head struct {
	Channel Channel     `msgpack:"c"`
	Status  int         `msgpack:"s"`
	Header  http.Header `msgpack:"h"`
	Again   bool        `msgpack:"a,omitempty"`
}

// Kind names the message.
func (*Head) Kind() frame.Kind { return "head" }

// Check reports the first field that is out of its domain.
func (m *Head) Check() error {
	if m.Status < 200 || m.Status > 999 {
		return errors.Newf("head: status %d", m.Status)
	}
	return checkCall("head", m.Channel)
}

// Data is a block of an answer. Position is the number of bytes before it.
type Data struct {
	Channel  Channel `msgpack:"c"`
	Position int     `msgpack:"p"`
	Data     []byte  `msgpack:"d"`
}

// Kind names the message.
func (*Data) Kind() frame.Kind { return "data" }

// Check reports the first field that is out of its domain.
func (m *Data) Check() error { return checkBlock("data", m.Channel, m.Position, m.Data) }

// End says that the answer is whole and how many bytes its body had.
type End struct {
	Channel Channel `msgpack:"c"`
	Size    int     `msgpack:"z"`
}

// Kind names the message.
func (*End) Kind() frame.Kind { return "end" }

// Check reports the first field that is out of its domain.
func (m *End) Check() error {
	if m.Size < 0 {
		return errors.Newf("end: %d bytes", m.Size)
	}
	return checkCall("end", m.Channel)
}

// Answer is a whole small answer: Head, Data and End in one.
type Answer struct {
	Channel Channel     `msgpack:"c"`
	Status  int         `msgpack:"s"`
	Header  http.Header `msgpack:"h"`
	Again   bool        `msgpack:"a,omitempty"`
	Data    []byte      `msgpack:"d"`
}

// Kind names the message.
func (*Answer) Kind() frame.Kind { return "answer" }

// Check reports the first field that is out of its domain.
func (m *Answer) Check() error {
	if err := checkBlock("answer", m.Channel, 0, m.Data); err != nil {
		return err
	}
	return (&Head{Channel: m.Channel, Status: m.Status}).Check()
}

// parts returns the messages that m stands for.
func (m *Answer) parts() []frame.Message {
	head := &Head{Channel: m.Channel, Status: m.Status, Header: m.Header, Again: m.Again}
	end := &End{Channel: m.Channel, Size: len(m.Data)}
	if len(m.Data) == 0 {
		return []frame.Message{head, end}
	}
	return []frame.Message{head, &Data{Channel: m.Channel, Data: m.Data}, end}
}

// Refusal ends a call that has no whole answer. RetryAfter is set where
// asking again is safe.
type Refusal struct {
	Channel    Channel       `msgpack:"c"`
	Outcome    calls.Outcome `msgpack:"o"`
	Reason     calls.Reason  `msgpack:"r"`
	RetryAfter time.Duration `msgpack:"a,omitempty"`
}

// Kind names the message.
func (*Refusal) Kind() frame.Kind { return "refusal" }

// Check reports the first field that is out of its domain.
func (m *Refusal) Check() error {
	if err := m.Outcome.Check(); err != nil {
		return err
	}
	return checkCall("refusal", m.Channel)
}

func checkCall(kind string, id Channel) error {
	if id == 0 {
		return errors.Newf("%s: channel is 0", kind)
	}
	return nil
}

func checkBlock(kind string, id Channel, position int, b []byte) error {
	if position < 0 || len(b) > BlockSize {
		return errors.Newf("%s: %d bytes at %d, want at most %d", kind, len(b), position, BlockSize)
	}
	return checkCall(kind, id)
}

// entryKinds are the messages that an entry accepts.
func entryKinds() frame.Kinds {
	k := frame.Kinds{}
	k.Register(func() frame.Message { return &Heartbeat{} })
	k.Register(func() frame.Message { return &Events{} })
	k.Register(func() frame.Message { return &Verdict{} })
	k.Register(func() frame.Message { return &Answer{} })
	k.Register(func() frame.Message { return &Head{} })
	k.Register(func() frame.Message { return &Data{} })
	k.Register(func() frame.Message { return &End{} })
	k.Register(func() frame.Message { return &Refusal{} })
	return k
}

// sideKinds are the messages that a side accepts.
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
