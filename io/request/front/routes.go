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

// router maps the paths of callers.
func (f *Front) router() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.HandleFunc("/v1/chat/completions", f.guard(f.chat)).Methods(http.MethodPost)
	r.HandleFunc("/v1/tickets", f.guard(f.issueTicket)).Methods(http.MethodPost)
	r.HandleFunc("/v1/tickets/{id}", f.guard(f.askTicket)).Methods(http.MethodGet)
	r.HandleFunc(servicePrefix+"{service}/{path:.*}", f.guard(f.service))
	r.NotFoundHandler = http.HandlerFunc(f.notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(f.notAllowed)
	return r
}

// retryAfter is what a refused caller is told to wait.
const retryAfter = time.Second

// guard refuses what the entry may not take now and bounds what it takes.
func (f *Front) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if f.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		select {
		case f.places <- struct{}{}:
		default:
			f.reject(w, http.StatusServiceUnavailable, "too many calls in flight", retryAfter)
			return
		}
		defer func() { <-f.places }()
		next(w, r)
	}
}

// reject ends a request that never became a call.
func (f *Front) reject(w http.ResponseWriter, status int, detail string, after time.Duration) {
	f.Metrics.Counter("rejected").Inc(1)
	Problem{
		Status: status, Detail: detail, Outcome: calls.NotRun,
		RequestID: uuid.NewString(), RetryAfter: after,
	}.write(w)
}

func (f *Front) notFound(w http.ResponseWriter, _ *http.Request) {
	f.reject(w, http.StatusNotFound, "no such path", 0)
}

func (f *Front) notAllowed(w http.ResponseWriter, _ *http.Request) {
	f.reject(w, http.StatusMethodNotAllowed, "method is not allowed here", 0)
}

// lookup returns the service of the document in force.
func (f *Front) lookup(w http.ResponseWriter, name string, kind envdoc.Kind) (envdoc.Service, bool) {
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

// workNamed makes the work of a call to the service called name, or tells the
// caller why there is none.
func (f *Front) workNamed(w http.ResponseWriter, r *http.Request, name string, kind envdoc.Kind) (*work, bool) {
	s, ok := f.lookup(w, name, kind)
	if !ok {
		return nil, false
	}
	return f.workOf(w, r, s)
}

// workOf makes the work of a call to s, or tells the caller which header is
// at fault.
func (f *Front) workOf(w http.ResponseWriter, r *http.Request, s envdoc.Service) (*work, bool) {
	k, err := f.newWork(r, s)
	if err != nil {
		f.reject(w, http.StatusBadRequest, err.Error(), 0)
		return nil, false
	}
	return k, true
}

// chatRequest is the part of a chat completion that the entry reads.
type chatRequest struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

const chatPath = "/v1/chat/completions"

// chat serves a chat completion; its model names the service.
func (f *Front) chat(w http.ResponseWriter, r *http.Request) {
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
	k, ok := f.workNamed(w, r, q.Model, envdoc.KindEngine)
	if !ok {
		return
	}
	k.path, k.body, k.stream = chatPath, body, q.Stream
	k.req.Prefix = prefixes(q.Messages)
	f.serve(w, r, k, f.repeat)
}

// service passes a call through to a plain service.
func (f *Front) service(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["service"]
	s, ok := f.lookup(w, name, envdoc.KindPlain)
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
	k, ok := f.workOf(w, r, s)
	if !ok {
		return
	}
	k.path, k.body = path, body
	if repeatable(s, r.Method, path) {
		f.serve(w, r, k, f.repeat)
		return
	}
	if err := k.readBinding(r.Header); err != nil {
		f.reject(w, http.StatusBadRequest, err.Error(), 0)
		return
	}
	f.serve(w, r, k, f.once)
}

// servicePath is the path and query that the target gets.
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

// serve runs a call under its deadline.
func (f *Front) serve(w http.ResponseWriter, r *http.Request, k *work, run func(context.Context, http.ResponseWriter, *work)) {
	w.Header().Set(headerRequest, k.req.ID)
	ctx, cancel := clockwork.WithTimeout(r.Context(), f.Clock, k.timeout)
	defer cancel()
	v, ok := f.policy.admit(ctx, k.req)
	if !ok {
		f.fail(w, k, onceEnding(gaveUp(ctx, k.unsentOutcome())))
		return
	}
	f.logAdmission(k, v)
	if v.Decision == admit.Refused {
		f.turnAway(ctx, w, k, v)
		return
	}
	k.admitted = f.Clock.Now()
	defer func() { f.policy.done(k.req.ID, k.firstByte) }()
	run(ctx, w, k)
}

// turnAway tells a caller that its call is refused at the door. Only the side
// of a bound call can say whether it ran, so that one is asked.
func (f *Front) turnAway(ctx context.Context, w http.ResponseWriter, k *work, v admit.Verdict) {
	e := ending{
		outcome: calls.NotRun, reason: string(v.Reason),
		status: http.StatusTooManyRequests, retryAfter: v.RetryAfter, refused: true,
	}
	if k.ticket == nil && k.key == "" {
		f.fail(w, k, e)
		return
	}
	k.refused = &e
	f.once(ctx, w, k)
}

func (f *Front) logAdmission(k *work, v admit.Verdict) {
	f.Log.Decide(trail.Decision{
		Area: trail.AreaAdmission, Action: string(v.Decision), Request: k.req.ID, Customer: k.req.Customer,
		Service: k.req.Service, Reason: string(v.Reason), Revision: f.Self.Revision.Load(),
	})
}
