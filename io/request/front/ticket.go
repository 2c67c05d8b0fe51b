package front

import (
	"context"
	"encoding/json"
	"net/http"
	"unicode/utf8"

	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/request/calls"
	"hawthornferry/core/request/route"
	"hawthornferry/io/conn/sessn"
)

// TicketRequest asks for a ticket for one call to a service.
type TicketRequest struct {
	Service string `json:"service"`
}

// TicketAnswer carries the ticket. The call names it in the header X-Ticket.
type TicketAnswer struct {
	Ticket  string `json:"ticket"`
	Service string `json:"service"`
}

// TicketStatus is what became of the call with a ticket. State is one of the
// side's states of a call; Outcome is empty while it is open.
type TicketStatus struct {
	State   calls.State   `json:"state"`
	Outcome calls.Outcome `json:"outcome,omitempty"`
	Answer  *TicketResult `json:"answer,omitempty"`
}

// TicketResult is the answer of a call that is done. Base64 holds a body that
// is not text.
type TicketResult struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
	Base64 []byte      `json:"base64,omitempty"`
}

// issueTicket picks a side for a call and names it in a ticket. The call
// itself comes later, through any entry.
func (f *Front) issueTicket(w http.ResponseWriter, r *http.Request) {
	body, release, ok := f.readBody(w, r)
	if !ok {
		return
	}
	defer release()
	var q TicketRequest
	if err := json.Unmarshal(body, &q); err != nil {
		f.reject(w, http.StatusBadRequest, "the body is not a ticket request", 0)
		return
	}
	k, ok := f.workNamed(w, r, q.Service, envdoc.KindPlain)
	if !ok {
		return
	}
	m, err := f.choose(k)
	if err != nil {
		f.reject(w, http.StatusServiceUnavailable, err.Error(), retryAfter)
		return
	}
	defer f.pool.release(m)
	f.writeTicket(w, m, k.req.Service)
}

func (f *Front) writeTicket(w http.ResponseWriter, m *member, service string) {
	issued, ok := m.client.Reading()
	if !ok {
		f.reject(w, http.StatusServiceUnavailable, errNoTarget.Error(), retryAfter)
		return
	}
	t := calls.Ticket{
		Call:    calls.ID(uuid.NewString()),
		Bind:    calls.BindTicket,
		Service: service,
		Side:    m.client.VM.Name,
		Issued:  issued,
	}
	text, err := t.Encode()
	if err != nil {
		f.reject(w, http.StatusInternalServerError, "the ticket could not be written", retryAfter)
		return
	}
	writeJSON(w, http.StatusCreated, TicketAnswer{Ticket: text, Service: service})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// askTicket tells what became of the call with a ticket. It marks nothing.
func (f *Front) askTicket(w http.ResponseWriter, r *http.Request) {
	t, err := calls.DecodeTicket(mux.Vars(r)["id"])
	if err != nil {
		f.reject(w, http.StatusBadRequest, err.Error(), 0)
		return
	}
	k := &work{bind: calls.BindTicket, ticket: &t, timeout: f.Limits.AskFor}
	k.req = route.Request{ID: uuid.NewString(), Service: t.Service}
	ctx, cancel := context.WithTimeout(r.Context(), f.Limits.AskFor)
	defer cancel()
	writeJSON(w, http.StatusOK, f.ticketStatus(ctx, k))
}

func (f *Front) ticketStatus(ctx context.Context, k *work) TicketStatus {
	m := f.pool.take(k.ticket.Side)
	if m == nil {
		return statusOf(calls.StateGone)
	}
	defer f.pool.release(m)
	t := &onceTry{front: f, member: m, work: k, attempt: calls.NewAttempt(k.bind)}
	if !t.connect(ctx) {
		return statusOf(calls.StateGone)
	}
	call, err := m.client.Query(&sessn.Query{Ticket: *k.ticket})
	if err != nil {
		return statusOf(calls.StateGone)
	}
	defer call.Close(false)
	return t.readStatus(ctx, call)
}

// readStatus takes the verdict, and the answer when the call is done.
func (t *onceTry) readStatus(ctx context.Context, call *sessn.Call) TicketStatus {
	msg, err := call.Next(ctx)
	if err != nil {
		return statusOf(calls.StateGone)
	}
	v, ok := msg.(*sessn.Verdict)
	if !ok {
		return statusOf(calls.StateGone)
	}
	s := statusOf(v.State)
	if v.State != calls.StateDone {
		return s
	}
	t.attempt.On(calls.EventSent)
	if _, ended := t.read(ctx, call); ended && t.refusal == nil && t.relay.head != nil {
		s.Answer = t.relay.result()
	}
	return s
}

func (r *onceRelay) result() *TicketResult {
	out := &TicketResult{Status: r.head.Status, Header: r.head.Header}
	if utf8.Valid(r.body) {
		out.Body = string(r.body)
		return out
	}
	out.Base64 = r.body
	return out
}

func statusOf(s calls.State) TicketStatus {
	switch s {
	case calls.StateAbsent, calls.StateRunning:
		return TicketStatus{State: s}
	case calls.StateDone:
		return TicketStatus{State: s, Outcome: calls.Done}
	case calls.StateNever:
		return TicketStatus{State: s, Outcome: calls.NotRun}
	}
	return TicketStatus{State: s, Outcome: calls.Unknown}
}
