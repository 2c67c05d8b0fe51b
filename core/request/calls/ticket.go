package calls

import (
	"encoding/base64"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"hawthornferry/core/conn/fresh"
)

// Binding says which side may run a call.
type Binding string

// The bindings. A free call may be tried at another side once this one has marked it.
// A ticket is bound to one side and one boot of it. A key is bound to the side that
// owns it according to the environment document.
const (
	BindFree   Binding = "free"
	BindTicket Binding = "ticket"
	BindKey    Binding = "key"
)

// Ticket identifies a once-call, the only side that may run it, and the side's boot
// and clock when the ticket was issued. Callers get its text form, with which any
// entry can look up the outcome later.
type Ticket struct {
	CallID  ID                 `msgpack:"c"`
	Binding Binding            `msgpack:"b"`
	Service string             `msgpack:"s"`
	Side    string             `msgpack:"v"`
	Issued  fresh.ClockReading `msgpack:"i"`
}

// Check returns an error for the first invalid field.
func (t Ticket) Check() error {
	if t.CallID == "" || t.Service == "" || t.Side == "" {
		return errors.New("ticket: call, service or side is empty")
	}
	switch t.Binding {
	case BindFree, BindTicket, BindKey:
	default:
		return errors.Newf("ticket: unknown binding %q", string(t.Binding))
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

// maxTicketLen is the greatest length of a ticket's text form that DecodeTicket
// accepts.
const maxTicketLen = 1024

// DecodeTicket parses the text form of a ticket and checks its fields.
func DecodeTicket(s string) (Ticket, error) {
	var t Ticket
	if len(s) > maxTicketLen {
		return t, errors.Newf("ticket: %d characters, want at most %d", len(s), maxTicketLen)
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

// expired reports whether the record of t may have been dropped at time now. A ticket
// that was issued in the future counts as expired.
func (t Ticket) expired(now fresh.ClockReading, keep time.Duration) bool {
	age := now.At - t.Issued.At
	return age < 0 || age > keep
}
