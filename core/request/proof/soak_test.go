//go:build !race

package proof

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"hawthornferry/core/conn/fresh"
	"hawthornferry/core/process/drift"
	"hawthornferry/core/process/fleet"
	"hawthornferry/core/request/admit"
	"hawthornferry/core/request/calls"
	"hawthornferry/core/request/picker"
	"hawthornferry/core/version/chunk"
)

// Duration of the soak test in virtual time, and rates of its events.
const (
	soakWeeks        = 4
	soakCallInterval = 30 * time.Second
	soakTargets      = 12
	targetLifetime   = 12 * time.Hour
	versionLifetime  = 6 * time.Hour
	soakPrefixes     = 6
	repeatOneIn      = 4
)

// soak simulates an entry and a side for weeks of virtual time, during which targets,
// versions, customers, prompts and keys are replaced by new ones. n counts the steps.
type soak struct {
	rand           *rand.Rand
	now            time.Time
	startTime      time.Time
	n              int
	chooser        *picker.Chooser
	admit          *admit.Admitter
	ledger         *calls.Ledger
	tracker        *drift.Tracker
	targets        []picker.Candidate
	created        int
	tickets        []calls.Ticket
	ran            map[calls.ID]int
	repeatsRefused int
	refused        int
}

func newSoak() *soak {
	s := &soak{
		rand:    rand.New(rand.NewPCG(3, 5)),
		now:     time.Unix(1_700_000_000, 0),
		admit:   &admit.Admitter{},
		tracker: &drift.Tracker{},
		ran:     map[calls.ID]int{},
	}
	s.startTime = s.now
	s.chooser = &picker.Chooser{Entry: fleet.VM{Name: "e", Zone: "z0", Region: "r"}, Rand: s.rand}
	s.ledger = calls.NewLedger("boot", calls.DefaultLimits())
	for range soakTargets {
		s.targets = append(s.targets, s.newTarget())
	}
	return s
}

func (s *soak) newTarget() picker.Candidate {
	s.created++
	return picker.Candidate{
		VM: fleet.VM{
			Name:    fmt.Sprint("t", s.created),
			Role:    fleet.RoleSide,
			Zone:    fmt.Sprint("z", s.created%2),
			Region:  "r",
			Service: "helper",
			Address: netip.MustParseAddrPort("127.0.0.1:1"),
			State:   fleet.StateLive,
		},
		Availability: picker.AvailabilityReady,
	}
}

// step advances the time and makes one routed call and one once-call.
func (s *soak) step() {
	s.n++
	s.now = s.now.Add(soakCallInterval)
	if s.every(targetLifetime / soakTargets) {
		s.targets[s.rand.IntN(soakTargets)] = s.newTarget()
	}
	for i := range s.targets {
		t := &s.targets[i]
		t.ServedVersion = chunk.DigestOf([]byte(fmt.Sprint(s.now.Sub(s.startTime) / versionLifetime)))
		t.Report = picker.LoadReport{ReceivedAt: s.now, Running: s.rand.IntN(8), Capacity: 16}
		s.admit.Report(s.now, "helper", t.VM.Name, t.Report)
	}
	s.routedCall()
	s.onceCall()
	s.admit.Tick(s.now)
	if s.every(time.Minute) {
		s.chooser.Expire(s.now)
		s.measure()
	}
}

func (s *soak) run(weeks int) {
	for range int(time.Duration(weeks) * 7 * 24 * time.Hour / soakCallInterval) {
		s.step()
	}
}

// every reports whether this step is the first of a new period.
func (s *soak) every(period time.Duration) bool {
	at := s.now.Sub(s.startTime)
	return at/period != (at-soakCallInterval)/period
}

// customer returns one of ten regular customers, or one that never calls again.
func (s *soak) customer() string {
	if s.rand.IntN(10) > 0 {
		return fmt.Sprint("steady", s.rand.IntN(10))
	}
	return fmt.Sprint("once", s.n)
}

func (s *soak) routedCall() {
	id := fmt.Sprint("r", s.n)
	r := picker.Request{ID: id, Customer: s.customer(), Service: "helper", Priority: picker.PriorityInteractive}
	r.Deadline = s.now.Add(2 * time.Second)
	for i := range soakPrefixes {
		r.PrefixHashes = append(r.PrefixHashes, uint64(s.n/3)<<8+uint64(i))
	}
	for _, v := range s.admit.Offer(s.now, admit.Offer{ID: id, Customer: r.Customer, Service: r.Service, Priority: r.Priority, Deadline: r.Deadline}) {
		if v.Decision == admit.Refused {
			s.refused++
			return
		}
	}
	c, err := s.chooser.Choose(s.now, r, s.targets)
	if err != nil {
		panic(err)
	}
	s.chooser.PrefixStored(s.now, c.VM.Name, s.rand.Uint64())
	s.chooser.ObserveTokenInterval(s.now, c.VM.Name, 25*time.Millisecond)
	// One call in a thousand is never reported as done, as if its goroutine
	// was lost.
	if s.rand.IntN(1000) > 0 {
		s.admit.Done(s.now.Add(time.Second), admit.Done{ID: id, FirstByte: 200 * time.Millisecond})
	}
}

// onceCall posts a new ticket or repeats an earlier one.
func (s *soak) onceCall() {
	clock := s.now.Sub(s.startTime)
	t := calls.Ticket{
		CallID:  calls.ID(fmt.Sprint("c", s.n)),
		Binding: calls.BindTicket,
		Service: "booking",
		Side:    "t",
		Issued:  fresh.ClockReading{Boot: "boot", At: clock},
	}
	if len(s.tickets) > 0 && s.rand.IntN(repeatOneIn) == 0 {
		t = s.tickets[s.rand.IntN(len(s.tickets))]
	} else {
		s.tickets = append(s.tickets, t)
	}
	start := calls.StartRequest{Ticket: t, EchoedReading: fresh.ClockReading{Boot: "boot", At: clock}, Fingerprint: "p"}
	if s.ledger.Start(clock, start).Kind != calls.ActionRun {
		s.repeatsRefused++
		return
	}
	s.ran[t.CallID]++
	s.ledger.Settle(clock, t.CallID, calls.StateDone)
}

func (s *soak) measure() {
	sizes := s.chooser.Sizes()
	s.tracker.AddSize(s.now, "prefixes", sizes.Prefixes)
	s.tracker.AddSize(s.now, "targets", sizes.Targets)
	s.tracker.AddSize(s.now, "speeds", sizes.TokenIntervals)
	s.tracker.AddSize(s.now, "admission", s.admit.Size(s.now))
	s.tracker.AddSize(s.now, "ledger", s.ledger.Len())
	s.tracker.AddCount(s.now, "refused", s.refused)
	s.refused = 0
	for _, st := range s.admit.States(s.now) {
		s.tracker.AddSize(s.now, "inFlight", st.InFlight)
		s.tracker.AddSize(s.now, "limit", st.Limit)
	}
}

// For four weeks targets, versions, customers, prompts and tickets are replaced,
// tickets are posted again weeks later, and some calls are never reported as done. No
// table may grow from week to week, the limit and the number of refusals must stay
// the same, and no ticket may run twice.
func TestSoakShowsNoDrift(t *testing.T) {
	t.Parallel()
	s := newSoak()
	s.run(soakWeeks)
	for id, n := range s.ran {
		if n > 1 {
			t.Errorf("call %s ran %d times", id, n)
		}
	}
	if s.repeatsRefused == 0 {
		t.Error("no repeat of a ticket was refused: the test checks nothing")
	}
	for _, l := range s.tracker.Results(s.now) {
		t.Logf("%s %s over %v: value %.0f, usual %.0f, trend %.2f", l.Name.Kind, l.Name.Name, l.Window, l.Value, l.Median, l.Trend)
		if l.Declined {
			t.Errorf("%s %s drifts over %v: value %.0f, usual %.0f, trend %.2f",
				l.Name.Kind, l.Name.Name, l.Window, l.Value, l.Median, l.Trend)
		}
	}
	t.Logf("%d calls, %d tickets, %d repeats refused", s.n, len(s.tickets), s.repeatsRefused)
}

// Calls that are never reported as done are dropped at a maximum age. Without it they
// would occupy their places forever, and the drift tracker must report the measure
// that grows.
func TestSoakDetectsLeak(t *testing.T) {
	t.Parallel()
	s := newSoak()
	s.admit.MaxCallAge = 52 * 7 * 24 * time.Hour
	s.run(1)
	for _, l := range s.tracker.Results(s.now) {
		if l.Name.Name == "inFlight" && l.Declined {
			return
		}
	}
	t.Errorf("no drift of calls in flight reported: %+v", s.tracker.Results(s.now))
}
