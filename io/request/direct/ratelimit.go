package direct

import "hawthornferry/core/process/trail"

// recordRateLimit tells the placer which limit the head of a response names, and logs a
// change. Only a signed response lifts a limit: others may come from something in between.
func (s *Server) recordRateLimit(x *exchange, reply ReplyHeaders) {
	limit := reply.RateLimit
	if !limit.Limited && !reply.Signed {
		return
	}
	if !s.dispatcher.recordRateLimit(x.target, limit, x.openedAt) {
		return
	}
	d := trail.Decision{Area: trail.AreaAdmission, Action: trail.ActionRateLimitNamed, Choice: x.target.ID, RateLimit: limit.PerSecond}
	if !limit.Limited {
		d.Action = trail.ActionRateLimitLifted
	}
	s.metrics.countRateLimitChange(d.Action)
	s.Log.Record(d)
}
