package side

import (
	"context"
	"time"

	"hawthornferry/io/conn/link"
)

// meterEvery is how often the pacer is told of live traffic. It is short
// against the time in which the pacer measures a rate, so that transfers give
// way within a fraction of a second.
const meterEvery = 20 * time.Millisecond

// meterCalls tells the pacer how many bytes of calls have crossed this VM's
// link, and the region link, until ctx ends. Without it transfers would take
// the whole link and live answers would queue behind blocks.
func (s *Side) meterCalls(ctx context.Context) error {
	all := flow{of: s.Host.Self.Totals.Of(link.PurposeCalls)}
	abroad := flow{of: s.Host.Self.Totals.Abroad()}
	tick := s.Host.Clock.NewTicker(meterEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.Chan():
		}
		received, sent := all.step()
		s.pacer.Down.Live(received)
		s.pacer.Up.Live(sent)
		in, out := abroad.step()
		s.pacer.Cross.Live(max(in, out))
	}
}

// flow is what a count of traffic has grown by since it was last looked at.
type flow struct {
	of       *link.Traffic
	received uint64
	sent     uint64
}

func (f *flow) step() (received, sent int) {
	r, w := f.of.Received(), f.of.Sent()
	received, sent = int(r-f.received), int(w-f.sent)
	f.received, f.sent = r, w
	return received, sent
}
