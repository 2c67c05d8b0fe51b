package direct

import (
	"context"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/place"
	"hawthornferry/core/request/poison"
	"hawthornferry/core/request/resend"
	"hawthornferry/core/request/table"
	"hawthornferry/io/request/gate"
)

// What refused callers are told to wait.
const (
	// settleWait is for a belief that is not there yet or too old: peers are
	// asked three times a second.
	settleWait = 400 * time.Millisecond
	// unservedWait is for a service whose targets all fail: they are tried
	// anew after pauses of this order.
	unservedWait = 800 * time.Millisecond
	// elsewhereWait is for a caller that any other entry can serve now.
	elsewhereWait = 50 * time.Millisecond
)

// request is one request of a caller on its way.
type request struct {
	in       *http.Request
	call     Call
	body     []byte
	facts    *facts.Facts
	age      facts.Age
	route    table.Route
	service  table.Service
	customer string
	story    story
	arrived  time.Time
	// asked is when the caller first asked, as far as its deadline tells.
	asked    time.Time
	deadline time.Time

	tries resend.Tries
	// failed are the targets to avoid.
	failed []string
	// prepaid is set when the next attempt is already counted as a repeat.
	prepaid atomic.Bool
	// lastEvent is the last event that the caller has.
	lastEvent string
	begun     bool
	// target is where the request is, and placementID the id under which its place
	// there is counted.
	target      string
	placementID string
	reason      string
	// key is the fingerprint once keyed is set.
	key   poison.Key
	keyed bool
}

// fingerprint returns what the repeats of the request have in common. It reads the
// whole body, and most requests never need it.
func (q *request) fingerprint() poison.Key {
	if !q.keyed {
		q.keyed = true
		q.key = poison.Request{
			Method: q.in.Method, Host: hostOf(q.in), URI: q.in.RequestURI, Caller: q.customer, Body: q.body,
		}.Key()
	}
	return q.key
}

// hostOf is the host that a request is for, without a port.
func hostOf(r *http.Request) string {
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// serve is the way of each request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{in: r, arrived: s.Clock.Now()}
	if a, ok := s.prepare(w, q); !ok {
		s.answer(w, q, a)
		return
	}
	ctx, cancel := clockwork.WithDeadline(r.Context(), s.Clock, q.deadline)
	defer cancel()
	s.earn(q.service.Name)
	s.run(ctx, w, q)
}

// prepare reads a request and finds out what serves it, or why it is not
// served.
func (s *Server) prepare(w http.ResponseWriter, q *request) (answer, bool) {
	var err error
	if q.call, err = s.Dialect.Call(q.in); err != nil {
		return answer{status: http.StatusBadRequest, reason: err.Error()}, false
	}
	s.believe(q)
	if q.facts.Table == nil {
		return answer{status: http.StatusServiceUnavailable, reason: "noConfiguration", retryAfter: settleWait}, false
	}
	if a, ok := s.find(q); !ok {
		return a, false
	}
	if a, ok := s.identify(q); !ok {
		return a, false
	}
	if a, ok := s.readBody(w, q); !ok {
		return a, false
	}
	s.setDeadline(q)
	if s.leavesBefore(q) {
		return answer{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: elsewhereWait}, false
	}
	return answer{}, true
}

// believe takes the belief that the request is served by, and its age. Time that
// passes later need not count: the bounds run until the request was sent, and that
// was before.
func (s *Server) believe(q *request) {
	q.facts, q.age = facts.Take(s.Source)
}

func (s *Server) find(q *request) (answer, bool) {
	path, _, _ := strings.Cut(q.in.RequestURI, "?")
	route, ok := q.facts.Table.Match(hostOf(q.in), path)
	if !ok {
		return s.denied(q, http.StatusNotFound, "noRoute"), false
	}
	q.route = route
	name := pickService(route.Shares, q.call.ID)
	q.service, ok = q.facts.Table.ServiceByName(name)
	if !ok {
		q.service = table.Service{Name: name}
	}
	return answer{}, true
}

// denied tells a caller that what it names does not exist, or to come back
// when this process does not know for sure: a configuration that brings it
// may just not have come here.
func (s *Server) denied(q *request, status int, reason string) answer {
	if q.age.OlderThan(s.Rules.TableAge) {
		return answer{status: http.StatusServiceUnavailable, reason: reason + "ByOldBelief", retryAfter: settleWait}
	}
	return answer{status: status, reason: reason}
}

// pickService shares a route's requests between its services by a hash of the
// request.
func pickService(shares []table.Share, id string) string {
	if len(shares) == 1 {
		return shares[0].Service
	}
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	at := int(h.Sum32() % uint32(max(total, 1)))
	for _, s := range shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return shares[len(shares)-1].Service
}

// identify finds the customer. A key that was revoked must not be honoured by
// a process that has not heard of it: past KeyAge the belief cannot vouch for
// any key, and the caller has to turn to another entry.
func (s *Server) identify(q *request) (answer, bool) {
	if !q.facts.Table.Keyed() || q.route.Anonymous {
		return answer{}, true
	}
	if s.Rules.KeyAge > 0 && q.age.OlderThan(s.Rules.KeyAge) {
		return answer{status: http.StatusServiceUnavailable, reason: "keysTooOld", retryAfter: settleWait}, false
	}
	c, ok := q.facts.Table.CustomerOf(q.call.Key)
	if !ok {
		return s.denied(q, http.StatusUnauthorized, "unknownKey"), false
	}
	q.customer = c.Name
	if c.Priority != nil {
		q.route.Priority = *c.Priority
	}
	return answer{}, true
}

func (s *Server) readBody(w http.ResponseWriter, q *request) (answer, bool) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	limit := q.facts.Table.Limits.MaxBody
	body := io.Reader(q.in.Body)
	if limit > 0 {
		body = http.MaxBytesReader(w, q.in.Body, limit)
	}
	b, err := io.ReadAll(body)
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return answer{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge"}, false
	case err != nil:
		return answer{status: http.StatusBadRequest, reason: "bodyUnreadable", closing: true}, false
	}
	q.body = b
	return answer{}, true
}

// setDeadline bounds the request by what its caller, its route and a stop of
// this process leave.
func (s *Server) setDeadline(q *request) {
	d := q.route.Timeout
	if q.call.Deadline > 0 {
		d = min(d, q.call.Deadline)
		q.asked = q.arrived.Add(-s.patience.spent(q.route.Name, q.call.Deadline))
	} else {
		q.asked = q.arrived
	}
	q.deadline = q.arrived.Add(d)
	q.lastEvent = q.call.LastEvent
}

// work is what the placer is told of a request.
func (s *Server) work(q *request) place.Work {
	answerTokens := q.call.Hint
	if answerTokens <= 0 {
		answerTokens = q.call.Answer
	}
	return place.Work{
		ID: q.call.ID, Service: q.service.Name, Kind: q.route.Name, Prompt: q.call.Prompt, Answer: answerTokens,
		Asked: q.asked, Objective: q.route.Objective, Deadline: q.deadline, Priority: q.route.Priority,
		Limits: s.versionLimits(q), Newest: s.newest(q), Avoid: q.failed, Begun: q.begun,
	}
}

// versionLimits are until when the request may begin on replaced versions.
func (s *Server) versionLimits(q *request) []place.VersionLimit {
	e := q.service.Engine
	if e == nil || s.Rules.Version <= 0 {
		return nil
	}
	var out []place.VersionLimit
	for _, v := range s.Source.Current().Named(e.Model) {
		out = append(out, place.VersionLimit{Version: v.Version, Until: v.Since.Add(s.Rules.Version - beginReserve)})
	}
	return out
}

// demanded is the least version that the request may begin on now, 0 for any.
func (s *Server) demanded(q *request) uint64 {
	e := q.service.Engine
	if e == nil || s.Rules.Version <= 0 {
		return 0
	}
	v, ok := s.Source.Current().Due(e.Model, s.Clock.Now().Add(beginReserve-s.Rules.Version))
	if ok {
		s.noteDemanded(v)
	}
	return v.Version
}

// noteDemanded writes down once from when a version is demanded, and how long
// ago this process takes it to have been named.
func (s *Server) noteDemanded(v facts.Named) {
	if last, loaded := s.demandedNow.Swap(v.Model, v.Version); loaded && last == v.Version {
		return
	}
	s.Log.Decide(trail.Decision{
		Area: trail.AreaRouting, Action: "versionDemanded", Subject: v.Model, Version: v.Version,
		AgeMS: s.Clock.Since(v.Since).Milliseconds(),
	})
}

// newest is the newest version that is named of the service's model.
func (s *Server) newest(q *request) uint64 {
	if q.service.Engine == nil {
		return 0
	}
	v, _ := s.Source.Current().Latest(q.service.Engine.Model)
	return v.Version
}

// expected is the version that the target must serve as the request begins, 0 for any.
// A target that goes back to older weights, as after a restart, must not answer by
// them. While others still load the newest version, a target that has it can only go
// back.
func (s *Server) expected(q *request, serving uint64) uint64 {
	q.story.demanded = s.demanded(q)
	newest := s.newest(q)
	if q.story.demanded > 0 || newest > 0 && serving >= newest {
		return serving
	}
	return 0
}

// outgoing makes the request for a target.
func (s *Server) outgoing(ctx context.Context, q *request, v place.Verdict) *http.Request {
	h := q.in.Header.Clone()
	gate.StripHops(h)
	if h.Get("User-Agent") == "" {
		// An empty value keeps the library from writing its own.
		h.Set("User-Agent", "")
	}
	s.Dialect.Forward(h, Forward{
		Target: v.Target.ID, Left: q.deadline.Sub(s.Clock.Now()), Customer: q.customer,
		LastEvent: q.lastEvent, Version: s.expected(q, v.Serving),
	})
	out := (&http.Request{Method: q.in.Method, Host: q.in.Host, Header: h, Close: true}).WithContext(ctx)
	u := *q.in.URL
	u.Scheme, u.Host, u.RawQuery, u.ForceQuery = "http", q.in.Host, "", false
	u.Opaque = q.in.RequestURI
	out.URL = &u
	return out
}
