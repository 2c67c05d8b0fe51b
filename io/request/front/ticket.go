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
	"hawthornferry/core/request/picker"
	"hawthornferry/io/conn/sessn"
)

// TicketRequest is the body of a request for a ticket for one call to a service.
type TicketRequest struct {
	Service string `json:"service"`
}

// TicketResponse returns the ticket. The call then carries it in the X-Ticket header.
type TicketResponse struct {
	Ticket  string `json:"ticket"`
	Service string `json:"service"`
}

// TicketStatus is what is known about the call of a ticket. State is the state that the
// side reports. Outcome is empty while it is open.
type TicketStatus struct {
	State   calls.State     `json:"state"`
	Outcome calls.Outcome   `json:"outcome,omitempty"`
	Answer  *TicketedAnswer `json:"answer,omitempty"`
}

// TicketedAnswer is the answer of a call that is done. A body that is not valid UTF-8
// is in Base64 rather than in Body.
type TicketedAnswer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   string      `json:"body"`
	Base64 []byte      `json:"base64,omitempty"`
}

// handleTicketIssue chooses a side for a call and returns a ticket that names it. The
// call itself is sent later, through any entry.
func (s *Server) handleTicketIssue(w http.ResponseWriter, r *http.Request) {
	body, release, ok := s.readBody(w, r)
	if !ok {
		return
	}
	defer release()
	var q TicketRequest
	if err := json.Unmarshal(body, &q); err != nil {
		s.reject(w, http.StatusBadRequest, "the body is not a ticket request", 0)
		return
	}
	rq, ok := s.newRequestByName(w, r, q.Service, envdoc.KindPlain)
	if !ok {
		return
	}
	m, err := s.choose(rq)
	if err != nil {
		s.reject(w, http.StatusServiceUnavailable, err.Error(), retryAfter)
		return
	}
	defer s.pool.release(m)
	s.writeTicket(w, m, rq.routing.Service)
}

func (s *Server) writeTicket(w http.ResponseWriter, m *member, service string) {
	issued, ok := m.client.ClockReading()
	if !ok {
		s.reject(w, http.StatusServiceUnavailable, errNoTarget.Error(), retryAfter)
		return
	}
	t := calls.Ticket{
		CallID:  calls.ID(uuid.NewString()),
		Binding: calls.BindTicket,
		Service: service,
		Side:    m.client.VM.Name,
		Issued:  issued,
	}
	text, err := t.Encode()
	if err != nil {
		s.reject(w, http.StatusInternalServerError, "the ticket could not be written", retryAfter)
		return
	}
	writeJSON(w, http.StatusCreated, TicketResponse{Ticket: text, Service: service})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// handleTicketStatus reports the state of a ticket's call. Unlike the query of an
// attempt whose connection failed, it doesn't mark the call as never to run.
func (s *Server) handleTicketStatus(w http.ResponseWriter, r *http.Request) {
	t, err := calls.DecodeTicket(mux.Vars(r)["id"])
	if err != nil {
		s.reject(w, http.StatusBadRequest, err.Error(), 0)
		return
	}
	rq := &request{binding: calls.BindTicket, ticket: &t, timeout: s.Limits.QueryTimeout}
	rq.routing = picker.Request{ID: uuid.NewString(), Service: t.Service}
	ctx, cancel := context.WithTimeout(r.Context(), s.Limits.QueryTimeout)
	defer cancel()
	writeJSON(w, http.StatusOK, s.ticketStatus(ctx, rq))
}

func (s *Server) ticketStatus(ctx context.Context, rq *request) TicketStatus {
	m := s.pool.acquire(rq.ticket.Side)
	if m == nil {
		return statusOf(calls.StateGone)
	}
	defer s.pool.release(m)
	t := &onceAttempt{front: s, member: m, request: rq, state: calls.NewAttempt(rq.binding)}
	if !t.waitConnected(ctx) {
		return statusOf(calls.StateGone)
	}
	call, err := m.client.Query(&sessn.Query{Ticket: *rq.ticket})
	if err != nil {
		return statusOf(calls.StateGone)
	}
	defer call.Close(false)
	return t.readTicketStatus(ctx, call)
}

// readTicketStatus reads the side's verdict, and the answer if the call is done.
func (t *onceAttempt) readTicketStatus(ctx context.Context, call *sessn.Call) TicketStatus {
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
	t.state.Apply(calls.EventSent)
	if _, ended := t.readAnswer(ctx, call); ended && t.refusal == nil && t.buffer.head != nil {
		s.Answer = t.buffer.ticketResult()
	}
	return s
}

func (r *answerBuffer) ticketResult() *TicketedAnswer {
	out := &TicketedAnswer{Status: r.head.Status, Header: r.head.Header}
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
		return TicketStatus{State: s, Outcome: calls.OutcomeDone}
	case calls.StateNever:
		return TicketStatus{State: s, Outcome: calls.OutcomeNotRun}
	}
	return TicketStatus{State: s, Outcome: calls.OutcomeUnknown}
}
