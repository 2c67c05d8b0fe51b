package front

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/admit"
	"hawthornferry/core/request/calls"
	"hawthornferry/io/request/gate"
)

const servicePrefix = "/v1/services/"

// newRouter returns the handler for all paths that callers may use.
func (s *Server) newRouter() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/v1/chat/completions", s.limitInFlight(s.handleChat)).Methods(http.MethodPost)
	r.HandleFunc("/v1/tickets", s.limitInFlight(s.handleTicketIssue)).Methods(http.MethodPost)
	r.HandleFunc("/v1/tickets/{id}", s.limitInFlight(s.handleTicketStatus)).Methods(http.MethodGet)
	r.HandleFunc(servicePrefix+"{service}/{path:.*}", s.limitInFlight(s.handleService))
	r.NotFoundHandler = http.HandlerFunc(s.handleNotFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(s.handleMethodNotAllowed)
	return r
}

// retryAfter is the time after which a refused caller is told to retry.
const retryAfter = time.Second

// limitInFlight rejects requests while the entry has MaxInFlight calls. While the entry
// drains, it tells callers to close their connections.
func (s *Server) limitInFlight(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		select {
		case s.callSlots <- struct{}{}:
		default:
			s.reject(w, http.StatusServiceUnavailable, "too many calls in flight", retryAfter)
			return
		}
		defer func() { <-s.callSlots }()
		next(w, r)
	}
}

// reject sends the error response to a request that was rejected before it became a
// call.
func (s *Server) reject(w http.ResponseWriter, status int, detail string, after time.Duration) {
	s.Metrics.Counter("rejected").Inc(1)
	Problem{
		Status: status, Detail: detail, Outcome: calls.OutcomeNotRun,
		RequestID: uuid.NewString(), RetryAfter: after,
	}.write(w)
}

func (s *Server) handleNotFound(w http.ResponseWriter, _ *http.Request) {
	s.reject(w, http.StatusNotFound, "no such path", 0)
}

func (s *Server) handleMethodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	s.reject(w, http.StatusMethodNotAllowed, "method is not allowed here", 0)
}

// lookupService returns the named service of the given kind from the current document.
// If there is none, it sends the error response and returns false.
func (s *Server) lookupService(w http.ResponseWriter, name string, kind envdoc.ServiceKind) (envdoc.Service, bool) {
	d := s.Source.Current().Document
	if d == nil {
		s.reject(w, http.StatusServiceUnavailable, "no document is in force yet", retryAfter)
		return envdoc.Service{}, false
	}
	service, ok := d.ServiceByName(name)
	if !ok || service.Kind != kind {
		s.reject(w, http.StatusNotFound, "no such service", 0)
		return envdoc.Service{}, false
	}
	return service, true
}

// newRequestByName is newRequestFor for the named service. If there is no such service
// of the given kind, it sends the error response and returns false.
func (s *Server) newRequestByName(w http.ResponseWriter, r *http.Request, name string, kind envdoc.ServiceKind) (*request, bool) {
	service, ok := s.lookupService(w, name, kind)
	if !ok {
		return nil, false
	}
	return s.newRequestFor(w, r, service)
}

// newRequestFor returns the request for a call to service. If a header is invalid, it sends
// the error response and returns false.
func (s *Server) newRequestFor(w http.ResponseWriter, r *http.Request, service envdoc.Service) (*request, bool) {
	rq, err := s.newRequest(r, service)
	if err != nil {
		s.reject(w, http.StatusBadRequest, err.Error(), 0)
		return nil, false
	}
	return rq, true
}

// chatRequest is the part of a chat completion request that the entry reads.
type chatRequest struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

const chatPath = "/v1/chat/completions"

// handleChat serves a chat completion. The model names the service.
func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	body, release, ok := s.readBody(w, r)
	if !ok {
		return
	}
	defer release()
	var q chatRequest
	if err := json.Unmarshal(body, &q); err != nil {
		s.reject(w, http.StatusBadRequest, "the body is not a chat completion", 0)
		return
	}
	rq, ok := s.newRequestByName(w, r, q.Model, envdoc.KindEngine)
	if !ok {
		return
	}
	rq.path, rq.body, rq.stream = chatPath, body, q.Stream
	rq.routing.PrefixHashes = prefixHashes(q.Messages)
	s.admitAndRun(w, r, rq, s.runRepeatable)
}

// handleService passes a call to a plain service through.
func (s *Server) handleService(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["service"]
	service, ok := s.lookupService(w, name, envdoc.KindPlain)
	if !ok {
		return
	}
	path, err := servicePath(r, name)
	if err != nil {
		s.reject(w, http.StatusBadRequest, err.Error(), 0)
		return
	}
	body, release, ok := s.readBody(w, r)
	if !ok {
		return
	}
	defer release()
	rq, ok := s.newRequestFor(w, r, service)
	if !ok {
		return
	}
	rq.path, rq.body = path, body
	if isRepeatable(service, r.Method, path) {
		s.admitAndRun(w, r, rq, s.runRepeatable)
		return
	}
	if err := rq.parseBinding(r.Header); err != nil {
		s.reject(w, http.StatusBadRequest, err.Error(), 0)
		return
	}
	s.admitAndRun(w, r, rq, s.runOnce)
}

// servicePath returns the path and query to send to the target, byte for byte as the caller
// sent them.
func servicePath(r *http.Request, service string) (string, error) {
	target, err := gate.RequestTarget(r)
	if err != nil {
		return "", err
	}
	target, ok := strings.CutPrefix(target, servicePrefix+service)
	if !ok {
		return "", errors.Newf("the path does not begin with %s%s", servicePrefix, service)
	}
	path, _, _ := strings.Cut(target, "?")
	for part := range strings.SplitSeq(path, "/") {
		if part == ".." || part == "." {
			return "", errors.New("the path has a dot segment")
		}
	}
	// The side sends what net/url makes of it.
	if u, err := url.Parse("http://target" + target); err != nil || u.RequestURI() != target {
		return "", errors.New("the path has characters that must be escaped")
	}
	return target, nil
}

// admitAndRun waits for admission and then calls run, both within the call's deadline.
func (s *Server) admitAndRun(w http.ResponseWriter, r *http.Request, rq *request, run func(context.Context, http.ResponseWriter, *request)) {
	w.Header().Set(headerRequestID, rq.routing.ID)
	ctx, cancel := clockwork.WithTimeout(r.Context(), s.Clock, rq.timeout)
	defer cancel()
	unlink := context.AfterFunc(s.stopping, cancel)
	defer unlink()
	if s.mayStopBefore(rq) {
		s.refuse(ctx, w, rq, result{status: http.StatusServiceUnavailable, reason: reasonStopping, retryAfter: retryAfter})
		return
	}
	v, ok := s.policy.admit(ctx, rq.routing)
	if !ok {
		s.writeFailure(w, rq, withoutUnsafeRetry(interruptedResult(ctx, rq.unsentOutcome())))
		return
	}
	s.logAdmission(rq, v)
	if v.Decision == admit.Refused {
		s.refuseAdmission(ctx, w, rq, v)
		return
	}
	rq.admittedAt = s.Clock.Now()
	defer func() { s.policy.callEnded(rq.routing.ID, rq.timeToFirstByte) }()
	run(ctx, w, rq)
}

// reasonStopping is the reason of a call that is refused because the process is about to end.
const reasonStopping = "stopping"

// refuseAdmission reports to a caller that admission refused its call.
func (s *Server) refuseAdmission(ctx context.Context, w http.ResponseWriter, rq *request, v admit.Verdict) {
	s.refuse(ctx, w, rq, result{
		reason: string(v.Reason), status: http.StatusTooManyRequests, retryAfter: v.RetryAfter, refusedAtAdmission: true,
	})
}

// refuse reports to a caller that its call was refused before it was sent. A bound call may
// have run already, so its side is queried first.
func (s *Server) refuse(ctx context.Context, w http.ResponseWriter, rq *request, res result) {
	res.outcome = calls.OutcomeNotRun
	if rq.ticket == nil && rq.idempotencyKey == "" {
		s.writeFailure(w, rq, res)
		return
	}
	rq.refused = &res
	s.runOnce(ctx, w, rq)
}

func (s *Server) logAdmission(rq *request, v admit.Verdict) {
	s.Log.Record(trail.Decision{
		Area: trail.AreaAdmission, Action: string(v.Decision), Request: rq.routing.ID, Customer: rq.routing.Customer,
		Service: rq.routing.Service, Reason: string(v.Reason), Revision: s.Self.Revision.Load(),
	})
}
