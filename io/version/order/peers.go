package order

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/version/roll"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

const (
	// maxConnections bounds the connections that one request to all peers holds open at
	// a time.
	maxConnections = 16
	// replyGap is how long the next reply to a request to all peers may take. Replicas of
	// a zone reply within milliseconds.
	replyGap = 100 * time.Millisecond
)

// statusRequest asks another replica of the service for its status, before a load.
type statusRequest struct {
	Service string `msgpack:"service"`
}

// Kind returns the name of the message on the wire.
func (*statusRequest) Kind() frame.Kind { return "loadAsk" }

// Check returns an error for the first invalid field.
func (r *statusRequest) Check() error {
	if r.Service == "" {
		return errors.New("loadAsk: service is empty")
	}
	return nil
}

// replicaStatus is the reply to a statusRequest: the status of the replica that sends
// it.
type replicaStatus struct {
	roll.Status `msgpack:",inline"`
}

// Kind returns the name of the message on the wire.
func (*replicaStatus) Kind() frame.Kind { return "loadStatus" }

// Check returns an error for the first invalid field.
func (r *replicaStatus) Check() error {
	if r.Name == "" {
		return errors.New("loadStatus: name is empty")
	}
	switch r.Phase {
	case roll.PhaseIdle, roll.PhaseAsking, roll.PhaseLoading:
		return nil
	}
	return errors.Newf("loadStatus: unknown phase %q", r.Phase)
}

// messageKinds lists the messages of a connection between two replicas.
func messageKinds() frame.Kinds {
	k := frame.Kinds{}
	k.Register(func() frame.Message { return &statusRequest{} })
	k.Register(func() frame.Message { return &replicaStatus{} })
	return k
}

// Handler answers the status requests of other replicas.
func (c *Controller) Handler() link.Handler {
	return link.Handler{Kinds: messageKinds(), Serve: c.serveStatus}
}

func (c *Controller) serveStatus(_ context.Context, conn *link.Conn) {
	m, err := conn.Receive()
	if err != nil {
		return
	}
	if _, ok := m.(*statusRequest); !ok {
		return
	}
	s := c.replicaStatus()
	// A peer that gets no reply counts this replica as not serving, which is safe: the
	// peer then loads only if the floor holds without this replica.
	_ = conn.Send(&replicaStatus{Status: s})
}

// requestStatuses asks all peers and returns the replies. It stops waiting when ctx ends,
// or when no further reply has come for replyGap: a replica asks again only after its
// question has ended and counts as not serving until then, so that a single peer behind a
// slow link would hold up the loads of the whole zone.
func (c *Controller) requestStatuses(ctx context.Context, service string, peers []fleet.VM) []roll.Status {
	ctx, cancel := context.WithCancel(ctx)
	replies := c.startRequests(ctx, service, peers)
	defer func() {
		cancel()
		for range replies {
		}
	}()
	var answers []roll.Status
	var gapOver <-chan time.Time
	for {
		select {
		case s, more := <-replies:
			if !more {
				return answers
			}
			answers = append(answers, s)
			gapOver = c.Clock.After(replyGap)
		case <-gapOver:
			return answers
		}
	}
}

// startRequests asks all peers. The channel returns their replies, and is closed when each
// peer has replied or failed to.
func (c *Controller) startRequests(ctx context.Context, service string, peers []fleet.VM) <-chan roll.Status {
	replies := make(chan roll.Status)
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConnections)
	for _, peer := range peers {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if s, err := c.requestStatus(ctx, service, peer); err == nil {
				replies <- s
			}
		})
	}
	go func() {
		wg.Wait()
		close(replies)
	}()
	return replies
}

// requestStatus asks one peer for its status.
func (c *Controller) requestStatus(ctx context.Context, service string, peer fleet.VM) (roll.Status, error) {
	m, err := link.RoundTrip(ctx, c.Self, peer.Address, link.PurposeOrders, messageKinds(), &statusRequest{Service: service})
	if err != nil {
		return roll.Status{}, err
	}
	s, ok := m.(*replicaStatus)
	if !ok || s.Name != peer.Name {
		return roll.Status{}, errors.Newf("reply %s is not the status of %s", m.Kind(), peer.Name)
	}
	return s.Status, nil
}
