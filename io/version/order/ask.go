package order

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/version/roll"
	"hawthornferry/io/conn/frame"
	"hawthornferry/io/conn/link"
)

// maxAsked bounds the connections that one question holds open at a time.
const maxAsked = 16

// ask is the question of a side that wants to load.
type ask struct {
	Service string `msgpack:"service"`
}

// Kind names the message.
func (*ask) Kind() frame.Kind { return "loadAsk" }

// Check reports the first field that is out of its domain.
func (a *ask) Check() error {
	if a.Service == "" {
		return errors.New("loadAsk: service is empty")
	}
	return nil
}

// status is the answer to an ask.
type status struct {
	roll.Status `msgpack:",inline"`
}

// Kind names the message.
func (*status) Kind() frame.Kind { return "loadStatus" }

// Check reports the first field that is out of its domain.
func (s *status) Check() error {
	if s.Name == "" {
		return errors.New("loadStatus: name is empty")
	}
	switch s.Phase {
	case roll.PhaseIdle, roll.PhaseAsking, roll.PhaseLoading:
		return nil
	}
	return errors.Newf("loadStatus: unknown phase %q", s.Phase)
}

func kinds() frame.Kinds {
	k := frame.Kinds{}
	k.Register(func() frame.Message { return &ask{} })
	k.Register(func() frame.Message { return &status{} })
	return k
}

// Handler answers the other replicas that ask.
func (o *Orderer) Handler() link.Handler {
	return link.Handler{Kinds: kinds(), Serve: o.answer}
}

func (o *Orderer) answer(_ context.Context, c *link.Conn) {
	m, err := c.Receive()
	if err != nil {
		return
	}
	if _, ok := m.(*ask); !ok {
		return
	}
	s := o.status()
	// An answer that is not delivered counts at the asker as a replica that
	// does not serve, which is the safe side; nothing to do here.
	_ = c.Send(&status{Status: s})
}

// askAll asks the peers and returns the answers that came before ctx ended.
func (o *Orderer) askAll(ctx context.Context, service string, peers []fleet.VM) []roll.Status {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var answers []roll.Status
	slots := make(chan struct{}, maxAsked)
	for _, p := range peers {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			s, err := o.askOne(ctx, service, p)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, s)
		})
	}
	wg.Wait()
	return answers
}

func (o *Orderer) askOne(ctx context.Context, service string, p fleet.VM) (roll.Status, error) {
	m, err := link.Ask(ctx, o.Self, p.Address, link.PurposeOrders, kinds(), &ask{Service: service})
	if err != nil {
		return roll.Status{}, err
	}
	s, ok := m.(*status)
	if !ok || s.Name != p.Name {
		return roll.Status{}, errors.Newf("answer %s is not of %s", m.Kind(), p.Name)
	}
	return s.Status, nil
}
