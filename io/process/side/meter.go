package side

import (
	"context"
	"time"

	"hawthornferry/io/conn/link"
)

// meterInterval is how often call traffic is reported to the pacer. It is short compared
// with the time over which the pacer measures a rate, so that transfers slow down within
// a fraction of a second.
const meterInterval = 20 * time.Millisecond

// meterCalls reports to the pacer how many bytes of calls crossed this VM's link and the
// region's link, until ctx ends. Without it, transfers of weights would take the whole link
// and answers to calls would queue behind them.
func (s *Side) meterCalls(ctx context.Context) error {
	calls := trafficCounter{traffic: s.Process.Self.Totals.ByPurpose(link.PurposeCalls)}
	crossRegion := trafficCounter{traffic: s.Process.Self.Totals.CrossRegion()}
	tick := s.Process.Clock.NewTicker(meterInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.Chan():
		}
		received, sent := calls.delta()
		s.pacer.Down.CountLive(received)
		s.pacer.Up.CountLive(sent)
		in, out := crossRegion.delta()
		s.pacer.RegionMeter.CountLive(max(in, out))
	}
}

// trafficCounter tells by how much a traffic count has grown since it was last read.
type trafficCounter struct {
	traffic  *link.Traffic
	received uint64
	sent     uint64
}

func (c *trafficCounter) delta() (received, sent int) {
	r, w := c.traffic.Received(), c.traffic.Sent()
	received, sent = int(r-c.received), int(w-c.sent)
	c.received, c.sent = r, w
	return received, sent
}
