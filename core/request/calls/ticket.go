package calls

import (
	"encoding/base64"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"hawthornferry/core/conn/lease"
)

// Binding says what ties a call to its side.
type Binding string

// The bindings. A free call may be tried at another side once this one has
// marked it; a ticket is tied to a side and its boot; a key is tied to the
// owner that the document gives it.
const (
	BindFree   Binding = "free"
	BindTicket Binding = "ticket"
	BindKey    Binding = "key"
)

// Ticket names a once-call, the side that alone may run it, and the side's
// boot and clock when it was issued. Its text form goes to callers, so that
// any entry can find the outcome later.
type Ticket struct {
	Call    ID            `msgpack:"c"`
	Bind    Binding       `msgpack:"b"`
	Service string        `msgpack:"s"`
	Side    string        `msgpack:"v"`
	Issued  lease.Reading `msgpack:"i"`
}

// Check reports the first field that is out of its domain.
func (t Ticket) Check() error {
	if t.Call == "" || t.Service == "" || t.Side == "" {
		return errors.New("ticket: call, service or side is empty")
	}
	switch t.Bind {
	case BindFree, BindTicket, BindKey:
	default:
		return errors.Newf("ticket: unknown binding %q", string(t.Bind))
	}
	return t.Issued.Check()
}

// Encode returns the text form of t.
func (t Ticket) Encode() (string, error) {
	b, err := msgpack.Marshal(t)
	if err != nil {
		return "", errors.Wrap(err, "encode ticket")
	}
	return base64.RawURLEncoding.EncodeToString(b), nil
}

// maxTicket bounds the text form that DecodeTicket reads.
const maxTicket = 1024

// DecodeTicket reads the text form of a ticket.
func DecodeTicket(s string) (Ticket, error) {
	var t Ticket
	if len(s) > maxTicket {
		return t, errors.Newf("ticket: %d characters, want at most %d", len(s), maxTicket)
	}
	b, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return t, errors.Wrap(err, "ticket: not base64")
	}
	if err := msgpack.Unmarshal(b, &t); err != nil {
		return t, errors.Wrap(err, "ticket: not readable")
	}
	return t, t.Check()
}

// expired reports whether the record of t may have been dropped at now.
func (t Ticket) expired(now lease.Reading, keep time.Duration) bool {
	age := now.At - t.Issued.At
	return age < 0 || age > keep
}
