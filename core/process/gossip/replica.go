package gossip

// historyLength is how many earlier states a replica keeps to make deltas
// from. A peer that is further behind gets the whole state.
const historyLength = 8

// maxPart is about the bytes of items in one message. It keeps a message
// under the bound of a frame with room for names and marks.
const maxPart = 256 << 10

// replica is this process's copy of one topic.
type replica struct {
	topic   Topic
	held    State
	history []State
	// refused is the highest mark that was offered and is not sound. It is
	// not asked for again.
	refused Mark
	// conflict is the last version that a peer holds with another digest.
	conflict uint64
}

// wants reports whether the state named m should be asked for.
func (r *replica) wants(m Mark) bool {
	return m.above(r.topic, r.held.Mark) && m.above(r.topic, r.refused)
}

// adopt takes s as the held state. Items that have not changed are kept in
// place of their equals, so that the states of the history share them.
func (r *replica) adopt(s State) {
	s.Items = share(r.held.Items, s.Items)
	if r.held.Mark.Version > 0 {
		r.history = append(r.history, r.held)
	}
	if len(r.history) > historyLength {
		r.history = append(r.history[:0:0], r.history[len(r.history)-historyLength:]...)
	}
	r.held = s
}

// share returns next with each item that old has as well taken from old.
func share(old, next []Item) []Item {
	out := make([]Item, 0, len(next))
	for _, it := range next {
		for len(old) > 0 && old[0].Name < it.Name {
			old = old[1:]
		}
		if len(old) > 0 && old[0].Name == it.Name && old[0].sum == it.sum {
			it = old[0]
		}
		out = append(out, it)
	}
	return out
}

// since returns the delta for a peer that holds have, in parts.
func (r *replica) since(have Mark) []Delta {
	from := State{}
	for _, s := range r.history {
		if s.Mark == have {
			from = s
		}
	}
	return split(diff(r.topic, from, r.held))
}

// split cuts d into parts that each fit a message.
func split(d Delta) []Delta {
	var out []Delta
	part := Delta{Topic: d.Topic, From: d.From, To: d.To, Drop: d.Drop}
	for _, it := range d.Put {
		if part.size()+len(it.Body) > maxPart && len(part.Put) > 0 {
			part.More = true
			out = append(out, part)
			part = Delta{Topic: d.Topic, From: d.From, To: d.To}
		}
		part.Put = append(part.Put, it)
	}
	return append(out, part)
}
