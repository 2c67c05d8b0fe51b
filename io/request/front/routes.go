package front

import (
	"context"
	"encoding/json"
	"net/http"
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
)

const servicePrefix = "/v1/services/"

// newRouter returns the handler for all paths that callers may use.
func (f *Server) newRouter() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/v1/chat/completions", f.limitInFlight(f.handleChat)).Methods(http.MethodPost)
	r.HandleFunc("/v1/tickets", f.limitInFlight(f.handleTicketIssue)).Methods(http.MethodPost)
	r.HandleFunc("/v1/tickets/{id}", f.limitInFlight(f.handleTicketStatus)).Methods(http.MethodGet)
	r.HandleFunc(servicePrefix+"{service}/{path:.*}", f.limitInFlight(f.handleService))
	r.NotFoundHandler = http.HandlerFunc(f.handleNotFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(f.handleMethodNotAllowed)
	return r
}

// retryAfter is the time after which a refused caller is told to retry.
const retryAfter = time.Second

// limitInFlight rejects requests while the entry has MaxInFlight calls. While the entry
// drains, it tells callers to close their connections.
func (f *Server) limitInFlight(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if f.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		select {
		case f.callSlots <- struct{}{}:
		default:
			f.reject(w, http.StatusServiceUnavailable, "too many calls in flight", retryAfter)
			return
		}
		defer func() { <-f.callSlots }()
		next(w, r)
	}
}

// reject sends the error response to a request that was rejected before it became a
// call.
func (f *Server) reject(w http.ResponseWriter, status int, detail string, after time.Duration) {
	f.Metrics.Counter("rejected").Inc(1)
	Problem{
		Status: status, Detail: detail, Outcome: calls.OutcomeNotRun,
		RequestID: uuid.NewString(), RetryAfter: after,
	}.write(w)
}

func (f *Server) handleNotFound(w http.ResponseWriter, _ *http.Request) {
	f.reject(w, http.StatusNotFound, "no such path", 0)
}

func (f *Server) handleMethodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	f.reject(w, http.StatusMethodNotAllowed, "method is not allowed here", 0)
}

// lookupService returns the named service of the given kind from the current document.
// If there is none, it sends the error response and returns false.
func (f *Server) lookupService(w http.ResponseWriter, name string, kind envdoc.ServiceKind) (envdoc.Service, bool) {
	d := f.Source.Current().Document
	if d == nil {
		f.reject(w, http.StatusServiceUnavailable, "no document is in force yet", retryAfter)
		return envdoc.Service{}, false
	}
	s, ok := d.ServiceByName(name)
	if !ok || s.Kind != kind {
		f.reject(w, http.StatusNotFound, "no such service", 0)
		return envdoc.Service{}, false
	}
	return s, true
}

// newRequestByName is newRequestFor for the named service. If there is no such service
// of the given kind, it sends the error response and returns false.
func (f *Server) newRequestByName(w http.ResponseWriter, r *http.Request, name string, kind envdoc.ServiceKind) (*request, bool) {
	s, ok := f.lookupService(w, name, kind)
	if !ok {
		return nil, false
	}
	return f.newRequestFor(w, r, s)
}

// newRequestFor returns the request for a call to s. If a header is invalid, it sends
// the error response and returns false.
func (f *Server) newRequestFor(w http.ResponseWriter, r *http.Request, s envdoc.Service) (*request, bool) {
	rq, err := f.newRequest(r, s)
	if err != nil {
		f.reject(w, http.StatusBadRequest, err.Error(), 0)
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
func (f *Server) handleChat(w http.ResponseWriter, r *http.Request) {
	body, release, ok := f.readBody(w, r)
	if !ok {
		return
	}
	defer release()
	var q chatRequest
	if err := json.Unmarshal(body, &q); err != nil {
		f.reject(w, http.StatusBadRequest, "the body is not a chat completion", 0)
		return
	}
	rq, ok := f.newRequestByName(w, r, q.Model, envdoc.KindEngine)
	if !ok {
		return
	}
	rq.path, rq.body, rq.stream = chatPath, body, q.Stream
	rq.routing.PrefixHashes = prefixHashes(q.Messages)
	f.admitAndRun(w, r, rq, f.runRepeatable)
}

// handleService passes a call to a plain service through.
func (f *Server) handleService(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["service"]
	s, ok := f.lookupService(w, name, envdoc.KindPlain)
	if !ok {
		return
	}
	path, err := servicePath(r, name)
	if err != nil {
		f.reject(w, http.StatusBadRequest, err.Error(), 0)
		return
	}
	body, release, ok := f.readBody(w, r)
	if !ok {
		return
	}
	defer release()
	rq, ok := f.newRequestFor(w, r, s)
	if !ok {
		return
	}
	rq.path, rq.body = path, body
	if isRepeatable(s, r.Method, path) {
		f.admitAndRun(w, r, rq, f.runRepeatable)
		return
	}
	if err := rq.parseBinding(r.Header); err != nil {
		f.reject(w, http.StatusBadRequest, err.Error(), 0)
		return
	}
	f.admitAndRun(w, r, rq, f.runOnce)
}

// servicePath returns the path and query to send to the target.
func servicePath(r *http.Request, service string) (string, error) {
	path := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix+service)
	for part := range strings.SplitSeq(path, "/") {
		if part == ".." || part == "." {
			return "", errors.New("the path has a dot segment")
		}
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path, nil
}

// admitAndRun waits for admission and then calls run, both within the call's deadline.
func (f *Server) admitAndRun(w http.ResponseWriter, r *http.Request, rq *request, run func(context.Context, http.ResponseWriter, *request)) {
	w.Header().Set(headerRequestID, rq.routing.ID)
	ctx, cancel := clockwork.WithTimeout(r.Context(), f.Clock, rq.timeout)
	defer cancel()
	v, ok := f.policy.admit(ctx, rq.routing)
	if !ok {
		f.writeFailure(w, rq, withoutUnsafeRetry(interruptedResult(ctx, rq.unsentOutcome())))
		return
	}
	f.logAdmission(rq, v)
	if v.Decision == admit.Refused {
		f.refuseAdmission(ctx, w, rq, v)
		return
	}
	rq.admittedAt = f.Clock.Now()
	defer func() { f.policy.callEnded(rq.routing.ID, rq.timeToFirstByte) }()
	run(ctx, w, rq)
}

// refuseAdmission reports to a caller that admission refused its call. A bound call may
// have run already, so its side is queried first.
func (f *Server) refuseAdmission(ctx context.Context, w http.ResponseWriter, rq *request, v admit.Verdict) {
	res := result{
		outcome: calls.OutcomeNotRun, reason: string(v.Reason),
		status: http.StatusTooManyRequests, retryAfter: v.RetryAfter, refusedAtAdmission: true,
	}
	if rq.ticket == nil && rq.idempotencyKey == "" {
		f.writeFailure(w, rq, res)
		return
	}
	rq.refusedAtAdmission = &res
	f.runOnce(ctx, w, rq)
}

func (f *Server) logAdmission(rq *request, v admit.Verdict) {
	f.Log.Record(trail.Decision{
		Area: trail.AreaAdmission, Action: string(v.Decision), Request: rq.routing.ID, Customer: rq.routing.Customer,
		Service: rq.routing.Service, Reason: string(v.Reason), Revision: f.Self.Revision.Load(),
	})
}
