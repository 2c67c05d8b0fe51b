package gossip

// Action is something that the caller of a Node has to do.
type Action interface{ action() }

// SendMarks, SendPull and SendDelta send a message to a peer.
type (
	SendMarks struct {
		Peer  PeerID
		Marks Marks
	}
	SendPull struct {
		Peer PeerID
		Pull Pull
	}
	SendDelta struct {
		Peer  PeerID
		Delta Delta
	}
)

// Adopt reports a new held state, which the caller has to put into effect.
type Adopt struct {
	Topic Topic
	State State
}

// Ignored reports a state that was read from the platform but does not
// supersede the held one.
type Ignored struct {
	Topic Topic
	Mark  Mark
	Held  Mark
}

// Refused reports an invalid state or delta. Peer is the sender of a delta that
// could not be applied. It is 0 for a state that Accept rejected, even if it
// came from a peer.
type Refused struct {
	Topic Topic
	Peer  PeerID
	Mark  Mark
	Err   error
}

// Conflict reports a document with the held version but other content. Peer is
// 0 when it was read from the platform.
type Conflict struct {
	Topic Topic
	Peer  PeerID
	Mark  Mark
}

func (SendMarks) action() {}
func (SendPull) action()  {}
func (SendDelta) action() {}
func (Adopt) action()     {}
func (Ignored) action()   {}
func (Refused) action()   {}
func (Conflict) action()  {}
