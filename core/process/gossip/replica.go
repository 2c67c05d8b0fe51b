package gossip

// historyLength is how many earlier states a replica keeps to compute deltas
// from. A peer that is further behind gets the whole state.
const historyLength = 8

// maxPartBytes is the approximate limit for the items in one message. It leaves
// room below the frame size limit for names and marks.
const maxPartBytes = 256 << 10

// replica is this process's copy of one topic.
type replica struct {
	topic   Topic
	held    State
	history []State
	// refused is the highest mark that was offered and failed validation. It is
	// not requested again.
	refused Mark
	// conflict is the last version that a peer or the platform has with another
	// digest.
	conflict uint64
}

// wants reports whether the state marked m should be requested.
func (r *replica) wants(m Mark) bool {
	return m.supersedes(r.topic, r.held.Mark) && m.supersedes(r.topic, r.refused)
}

// adopt makes s the held state. Unchanged items are replaced by the ones
// already held, so that the states in the history share their memory.
func (r *replica) adopt(s State) {
	s.Items = shareItems(r.held.Items, s.Items)
	if r.held.Mark.Version > 0 {
		r.history = append(r.history, r.held)
	}
	if len(r.history) > historyLength {
		r.history = append(r.history[:0:0], r.history[len(r.history)-historyLength:]...)
	}
	r.held = s
}

// shareItems returns next with each item that is also in old taken from old.
func shareItems(old, next []Item) []Item {
	out := make([]Item, 0, len(next))
	for _, it := range next {
		for len(old) > 0 && old[0].Name < it.Name {
			old = old[1:]
		}
		if len(old) > 0 && old[0].Name == it.Name && old[0].digest == it.digest {
			it = old[0]
		}
		out = append(out, it)
	}
	return out
}

// deltasFrom returns the delta from have to the held state, split into parts.
// If have is not in the history, the delta is the whole state.
func (r *replica) deltasFrom(have Mark) []Delta {
	from := State{}
	for _, s := range r.history {
		if s.Mark == have {
			from = s
		}
	}
	return split(diff(r.topic, from, r.held))
}

// split splits d into parts that each fit in one message.
func split(d Delta) []Delta {
	var out []Delta
	part := Delta{Topic: d.Topic, From: d.From, To: d.To, Drop: d.Drop}
	for _, it := range d.Put {
		if part.size()+len(it.Body) > maxPartBytes && len(part.Put) > 0 {
			part.More = true
			out = append(out, part)
			part = Delta{Topic: d.Topic, From: d.From, To: d.To}
		}
		part.Put = append(part.Put, it)
	}
	return append(out, part)
}
