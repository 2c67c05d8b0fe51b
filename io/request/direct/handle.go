package direct

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/facts"
	"hawthornferry/core/process/trail"
	"hawthornferry/core/request/place"
	"hawthornferry/core/request/poison"
	"hawthornferry/core/request/resend"
	"hawthornferry/core/request/space"
	"hawthornferry/core/request/table"
	"hawthornferry/io/conn/bound"
	"hawthornferry/io/request/gate"
)

// What refused callers are told to wait before they retry.
const (
	// staleFactsRetryAfter is for facts that are missing or too old: peers are polled
	// three times a second, so newer ones arrive soon.
	staleFactsRetryAfter = 400 * time.Millisecond
	// unreadableRetryAfter is for a part of the configuration that can't be read: only the next
	// configuration can mend it.
	unreadableRetryAfter = 2 * time.Second
	// failedTargetsRetryAfter is for a service whose targets all fail: they are tried
	// again after pauses of this order.
	failedTargetsRetryAfter = 800 * time.Millisecond
	// drainRetryAfter is for a caller that any other entry can serve at once.
	drainRetryAfter = 50 * time.Millisecond
)

// request is the state of one caller's request.
type request struct {
	incoming *http.Request
	// target is the path and query that the caller sent.
	target string
	call   CallerHeaders
	body   []byte
	// hold is the memory reserved for the bodies of the request and its response.
	hold     space.Hold
	facts    *facts.Facts
	factsAge facts.Age
	route    table.Route
	service  table.Service
	customer string
	// customerRegions are the regions that the customer allows.
	customerRegions table.AllowedRegions
	// rank orders the requests of a service, the most urgent first.
	rank      int
	progress  progress
	arrivedAt time.Time
	// firstAskedAt is when the caller sent its first request, estimated from its
	// deadline; earlier than arrivedAt for a retry after a refusal.
	firstAskedAt time.Time
	deadline     time.Time

	tries resend.AttemptTracker
	// failedTargets are the IDs of targets that must not get the request again.
	failedTargets []string
	// trial is set while the request is blocked and sent nevertheless.
	trial trial
	// retries is what the request holds of the retry budget.
	retries heldRetries
	// lastEventID is the ID of the last event that the caller has.
	lastEventID string
	// responseBegun is set if the caller has a part of the response.
	responseBegun bool
	// targetID is the target that has the request, and placementID the ID under which
	// the placer counts it there.
	targetID    string
	placementID string
	// reason says in logs and in an errorResponse why the request failed.
	reason string
	// key caches the fingerprint; it is valid if hasKey is set.
	key    poison.Fingerprint
	hasKey bool
	// partIDs caches the parts of the prompt.
	partIDs []poison.PartID
}

// fingerprint returns what all repeats of the request have in common. It is computed on
// first use, because it hashes the whole body and most requests never need it.
func (q *request) fingerprint() poison.Fingerprint {
	if !q.hasKey {
		q.hasKey = true
		q.key = poison.Request{
			Method: q.incoming.Method, Host: hostOf(q.incoming), URI: q.target, Caller: q.customer, Body: q.body,
		}.Fingerprint()
	}
	return q.key
}

// identity returns what identifies the request if it crashes targets.
func (q *request) identity() poison.Identity {
	return poison.Identity{Request: q.fingerprint(), Parts: q.parts()}
}

// parts returns the parts of the prompt that other requests may have, too.
func (q *request) parts() []poison.PartID {
	if q.partIDs == nil {
		for _, id := range q.call.SharedParts {
			q.partIDs = append(q.partIDs, poison.NewPartID(id))
		}
	}
	return q.partIDs
}

// hostOf returns the host that a request is for, in lower case and without a port.
func hostOf(r *http.Request) string {
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// serve handles one request from arrival to end.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	s.underWay.Add(1)
	defer s.underWay.Add(-1)
	q := &request{incoming: r, arrivedAt: s.Clock.Now()}
	// http.Server reads the body of a request that is refused, before it answers and for as long
	// as it is allowed to.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	q.hold.Budget = s.Memory
	defer q.hold.Release()
	if e, ok := s.prepare(w, q); !ok {
		s.sendError(w, q, e)
		return
	}
	ctx, cancel := s.requestContext(q)
	defer cancel()
	s.countForRetries(q.service.Name)
	defer s.endRetries(q)
	s.runAttempts(ctx, w, q)
}

// prepare reads a request and determines its route, service, customer and deadline. It
// returns false and the error response if the request cannot be served.
func (s *Server) prepare(w http.ResponseWriter, q *request) (errorResponse, bool) {
	var err error
	if q.call, err = s.HeaderCodec.ReadCaller(q.incoming); err != nil {
		return errorResponse{status: http.StatusBadRequest, reason: err.Error()}, false
	}
	if q.target, err = gate.RequestTarget(q.incoming); err != nil {
		return errorResponse{status: http.StatusBadRequest, reason: err.Error()}, false
	}
	s.snapshotFacts(q)
	if q.facts.Table == nil {
		return errorResponse{status: http.StatusServiceUnavailable, reason: "noConfiguration", retryAfter: staleFactsRetryAfter}, false
	}
	if e, ok := s.matchRoute(q); !ok {
		return e, false
	}
	if e, ok := s.identifyCustomer(q); !ok {
		return e, false
	}
	if e, ok := s.readBody(w, q); !ok {
		return e, false
	}
	s.setDeadline(q)
	if s.mayStopBefore(q) {
		return errorResponse{status: http.StatusServiceUnavailable, reason: reasonStopping, retryAfter: drainRetryAfter}, false
	}
	return errorResponse{}, true
}

// snapshotFacts stores the facts that the request is served by, and their age. The age
// need not be updated later: the limits on it apply up to when the caller sent the
// request, which was before.
func (s *Server) snapshotFacts(q *request) {
	q.facts, q.factsAge = facts.Snapshot(s.Source)
}

// matchRoute finds the route of the request and picks its service.
func (s *Server) matchRoute(q *request) (errorResponse, bool) {
	route, ok := matchTable(q.facts.Table, q)
	unreadable := q.facts.Table.Unreadable
	switch {
	case !ok && unreadable.Routes:
		return unreadableError("unreadableRoute"), false
	case !ok:
		return s.notFoundError(q, http.StatusNotFound, "noRoute"), false
	case len(route.TrafficSplit) == 0:
		return unreadableError("unreadableRoute"), false
	}
	q.route = route
	name := pickService(route.TrafficSplit, q.call.ID)
	q.service, ok = q.facts.Table.ServiceByName(name)
	if q.service.Unreadable || !ok && unreadable.Services {
		return unreadableError("unreadableService"), false
	}
	if !ok {
		q.service = table.Service{Name: name}
	}
	return errorResponse{}, true
}

// unreadableError returns the response to a request that depends on a part of the configuration
// which couldn't be read.
func unreadableError(reason string) errorResponse {
	return errorResponse{status: http.StatusServiceUnavailable, reason: reason, retryAfter: unreadableRetryAfter}
}

// notFoundError returns the response for a route or key that does not exist according
// to the facts. If these are too old to be sure, the caller is told to retry: a
// configuration that adds the route or key may not have reached this process yet.
func (s *Server) notFoundError(q *request, status int, reason string) errorResponse {
	if q.factsAge.OlderThan(s.Rules.MaxTableAge) {
		return errorResponse{status: http.StatusServiceUnavailable, reason: reason + "ByOldBelief", retryAfter: staleFactsRetryAfter}
	}
	return errorResponse{status: status, reason: reason}
}

// pickService picks one of a route's services with probability proportional to its
// weight. It uses a hash of the request ID, so that a repeat with the same ID gets the
// same service.
func pickService(shares []table.WeightedService, id string) string {
	if len(shares) == 1 {
		return shares[0].Service
	}
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	at := int(uint64(h.Sum32()) % uint64(max(total, 1)))
	for _, s := range shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return shares[len(shares)-1].Service
}

// identifyCustomer determines the customer by the API key. A process that has not
// learned that a key was revoked must not accept it. So if the facts are older than
// MaxKeyAge, no key is accepted and the caller has to try another entry.
func (s *Server) identifyCustomer(q *request) (errorResponse, bool) {
	if !q.facts.Table.RequiresKey() || q.route.AllowAnonymous {
		q.rank = rankOf(q, nil)
		return errorResponse{}, true
	}
	if s.Rules.MaxKeyAge > 0 && q.factsAge.OlderThan(s.Rules.MaxKeyAge) {
		return errorResponse{status: http.StatusServiceUnavailable, reason: "keysTooOld", retryAfter: staleFactsRetryAfter}, false
	}
	c, ok := q.facts.Table.CustomerByKey(q.call.APIKey)
	if !ok && q.call.APIKey != "" && q.facts.Table.Unreadable.Customers {
		return unreadableError("unreadableKeys"), false
	}
	if !ok {
		return s.notFoundError(q, http.StatusUnauthorized, "unknownKey"), false
	}
	q.customer, q.customerRegions = c.Name, c.Regions
	q.rank = rankOf(q, c.Priority)
	return errorResponse{}, true
}

// rankOf returns the rank of a request of a customer with the given priority, nil for none. At
// a service without an admission level, the customer's priority replaces the route's.
func rankOf(q *request, customer *int) int {
	switch {
	case place.HasLevel(q.facts.Table, q.service.Name):
		return q.facts.Table.Rank(q.service.Name, customer, q.route.Priority)
	case customer != nil:
		return *customer
	default:
		return q.route.Priority
	}
}

// readBody reads the whole body within bodyTimeout of the request's arrival and the configured
// size limit.
func (s *Server) readBody(w http.ResponseWriter, q *request) (errorResponse, bool) {
	limit := q.facts.Table.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = bound.MaxBodyBytes
	}
	body := http.MaxBytesReader(w, q.incoming.Body, limit)
	b, err := readHeld(body, q.incoming.ContentLength, &q.hold, q.hold.Grow, 0)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errorResponse{status: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge"}, false
	case errors.Is(err, errNoMemory):
		return errorResponse{status: http.StatusServiceUnavailable, reason: "noMemory", retryAfter: memoryRetryAfter, closeConn: true}, false
	case err != nil:
		return errorResponse{status: http.StatusBadRequest, reason: "bodyUnreadable", closeConn: true}, false
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	q.body = b
	return errorResponse{}, true
}

// setDeadline sets the deadline to the shorter of the route's timeout and the caller's
// deadline, and estimates when the caller first asked.
func (s *Server) setDeadline(q *request) {
	d := q.route.Timeout
	if q.call.Deadline > 0 {
		d = min(d, q.call.Deadline)
		q.firstAskedAt = q.arrivedAt.Add(-s.callerDeadlines.sinceFirstRequest(q.route.Name, q.call.Deadline))
	} else {
		q.firstAskedAt = q.arrivedAt
	}
	q.deadline = q.arrivedAt.Add(d)
	q.lastEventID = q.call.LastEventID
}

// placerRequest returns the request in the form that the placer takes.
func (s *Server) placerRequest(q *request) place.Request {
	answerTokens := q.call.ExpectedAnswerTokens
	if answerTokens <= 0 {
		answerTokens = q.call.MaxAnswerTokens
	}
	return place.Request{
		ID: q.call.ID, Service: q.service.Name, Kind: q.route.Name, PromptTokens: q.call.PromptTokens, AnswerTokens: answerTokens,
		FirstRequestedAt: q.firstAskedAt, Objective: q.route.Objective, Deadline: q.deadline, Priority: q.rank,
		Limits: s.versionLimits(q), NewestVersion: s.newestVersion(q), FailedTargets: q.failedTargets, Resumed: q.responseBegun,
		Regions: s.allowedRegions(q),
	}
}

// versionLimits returns, for each announced version of the service's model, until when
// the request may begin on an older one.
func (s *Server) versionLimits(q *request) []place.VersionLimit {
	e := q.service.Engine
	if e == nil || s.Rules.OldVersionPeriod <= 0 {
		return nil
	}
	var out []place.VersionLimit
	for _, v := range s.Source.Current().VersionsOf(e.Model) {
		out = append(out, place.VersionLimit{Version: v.Version, Until: v.Since.Add(s.Rules.OldVersionPeriod - beginMargin)})
	}
	return out
}

// minVersion returns the oldest version that the request may begin on now, 0 for any.
func (s *Server) minVersion(q *request) uint64 {
	e := q.service.Engine
	if e == nil || s.Rules.OldVersionPeriod <= 0 {
		return 0
	}
	v, ok := s.Source.Current().Due(e.Model, s.Clock.Now().Add(beginMargin-s.Rules.OldVersionPeriod))
	if ok {
		s.logMinVersion(v)
	}
	return v.Version
}

// logMinVersion logs a new minimum version once, with how long ago it was announced as
// far as this process knows.
func (s *Server) logMinVersion(v facts.ModelVersion) {
	if last, loaded := s.loggedVersions.Swap(v.Model, v.Version); loaded && last == v.Version {
		return
	}
	s.Log.Record(trail.Decision{
		Area: trail.AreaRouting, Action: "versionDemanded", Subject: v.Model, Version: v.Version,
		AgeMS: s.Clock.Since(v.Since).Milliseconds(),
	})
}

// newestVersion returns the newest announced version of the service's model, 0 if there
// is none.
func (s *Server) newestVersion(q *request) uint64 {
	if q.service.Engine == nil {
		return 0
	}
	v, _ := s.Source.Current().Latest(q.service.Engine.Model)
	return v.Version
}

// expectedVersion returns the version that the target must serve when the request
// begins, 0 for any. It prevents a target that has gone back to older weights, as after
// a restart, from answering with them. It applies once there is a minimum version, and
// to a target that has the newest version: while others are still loading that one,
// such a target can only go back.
func (s *Server) expectedVersion(q *request, serving uint64) uint64 {
	q.progress.minVersion = s.minVersion(q)
	newestVersion := s.newestVersion(q)
	if q.progress.minVersion > 0 || newestVersion > 0 && serving >= newestVersion {
		return serving
	}
	return 0
}

// targetRequest returns the HTTP request to send to the target of v, but for its path and query.
func (s *Server) targetRequest(ctx context.Context, q *request, v place.Verdict) *http.Request {
	h := q.incoming.Header.Clone()
	gate.RemoveHopByHopHeaders(h)
	if h.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its own User-Agent.
		h.Set("User-Agent", "")
	}
	s.HeaderCodec.WriteForward(h, ForwardHeaders{
		Target: v.Target.ID, Remaining: q.deadline.Sub(s.Clock.Now()), Customer: q.customer,
		LastEventID: q.lastEventID, RequiredVersion: s.expectedVersion(q, v.ServedVersion),
		Priority: s.engineQueuePriority(q),
	})
	out := (&http.Request{Method: q.incoming.Method, Host: q.incoming.Host, Header: h, Close: true}).WithContext(ctx)
	out.URL = &url.URL{Scheme: "http", Host: q.incoming.Host, Path: "/"}
	return out
}
