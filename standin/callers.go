package main

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/version/chunk"
	"hawthornferry/standin/caller"
	"hawthornferry/standin/serve"
)

// callersFlags are the flags of the callers command.
type callersFlags struct {
	fleet         string
	direct        bool
	entries       string
	directEngine  string
	directService string
	slice         time.Duration
	duration      time.Duration
	timeout       time.Duration
	attempts      int
	tokens        int
	ticketEvery   int
	keyEvery      int
	chat          string
	lookup        string
	once          string
	lookupPath    string
	oncePath      string
	customers     string
	manifests     string
	replicas      string
	stream        string
	whole         string
	lookups       string
	onces         string
	progress      bool
}

// errChecksFailed is returned when the summary isn't valid, see
// caller.Summary.Valid.
var errChecksFailed = errors.New("an answer was not whole, a once-call was executed twice, or a reported outcome was false")

// callersCommand runs a load test of limited duration and prints its summary.
func callersCommand() command {
	v := callersFlags{
		slice:       2 * time.Second,
		duration:    10 * time.Second,
		timeout:     30 * time.Second,
		attempts:    4,
		tokens:      32,
		ticketEvery: 3,
		chat:        "helper",
		lookup:      "booking",
		once:        "booking",
		lookupPath:  "pitches",
		oncePath:    "payments",
		customers:   "customer-1=4,customer-2=2,customer-3=1",
		stream:      "4/0",
		whole:       "2/0",
		lookups:     "4/0",
		onces:       "4/0",
	}
	f := flaggy.NewSubcommand("callers")
	f.Description = "simulated customers; prints a JSON summary and stops by itself"
	v.addressFlags(f)
	v.callFlags(f)
	f.Duration(&v.duration, "", "duration", "how long new calls are made; an interrupt ends it early")
	f.Duration(&v.timeout, "", "timeout", "how long one attempt may take")
	f.Bool(&v.progress, "", "progress", "print a line to standard error each second")
	return command{flags: f, run: v.run}
}

func (v *callersFlags) addressFlags(f *flaggy.Subcommand) {
	f.String(&v.fleet, "", "fleet", "directory of a demonstration's plan: its entries, replicas, customers and versions")
	f.Bool(&v.direct, "", "direct", "with a plan, call its targets directly in every other slice")
	f.String(&v.entries, "", "entries", "IP:port of each entry, separated by commas")
	f.String(&v.directEngine, "", "direct-engine", "IP:port of engines that are called directly")
	f.String(&v.directService, "", "direct-service", "IP:port of plain services that are called directly")
	f.Duration(&v.slice, "", "slice", "with entries and direct addresses, how long each is called in turn")
	f.String(&v.replicas, "", "replicas", "IP:port of the plain stand-ins whose executions are read at the end")
	f.String(&v.manifests, "", "manifests", "manifest digests of the versions that may answer; none: the one that the response names")
}

func (v *callersFlags) callFlags(f *flaggy.Subcommand) {
	f.String(&v.stream, "", "stream", "streamed chats: workers/calls a second, 0 for as many as they can")
	f.String(&v.whole, "", "whole", "whole chats: workers/calls a second")
	f.String(&v.lookups, "", "lookups", "lookups: workers/calls a second")
	f.String(&v.onces, "", "onces", "once-calls: workers/calls a second")
	f.Int(&v.attempts, "", "attempts", "most attempts of a call that may be repeated")
	f.Int(&v.tokens, "", "tokens", "tokens of each chat")
	f.Int(&v.ticketEvery, "", "ticket-every", "N: every N-th once-call gets a ticket; 0: none")
	f.Int(&v.keyEvery, "", "key-every", "N: every N-th once-call carries an idempotency key; 0: none")
	f.String(&v.chat, "", "chat-service", "service of the chats")
	f.String(&v.lookup, "", "lookup-service", "service of the lookups")
	f.String(&v.once, "", "once-service", "service of the once-calls")
	f.String(&v.lookupPath, "", "lookup-path", "path of the lookups")
	f.String(&v.oncePath, "", "once-path", "path of the once-calls")
	f.String(&v.customers, "", "customers", "name=weight of each customer, separated by commas")
}

func (v *callersFlags) run(ctx context.Context) error {
	if err := v.applyFleet(); err != nil {
		return usageError{err}
	}
	l, err := v.newLoadTest()
	if err != nil {
		return usageError{err}
	}
	s, err := l.Run(ctx)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(s); err != nil {
		return err
	}
	if !s.Valid() {
		return errChecksFailed
	}
	return nil
}

func (v *callersFlags) newLoadTest() (*caller.LoadTest, error) {
	l := &caller.LoadTest{
		Slice:         v.slice,
		Duration:      v.duration,
		Timeout:       v.timeout,
		Attempts:      v.attempts,
		Tokens:        v.tokens,
		TicketEvery:   v.ticketEvery,
		KeyEvery:      v.keyEvery,
		ChatService:   v.chat,
		LookupService: v.lookup,
		OnceService:   v.once,
		LookupPath:    v.lookupPath,
		OncePath:      v.oncePath,
		Clock:         clockwork.NewRealClock(),
	}
	if v.progress {
		l.Progress = os.Stderr
	}
	if l.Attempts < 1 || l.Tokens < 1 || l.Slice <= 0 {
		return nil, errors.New("attempts, tokens and slice: want 1 or more")
	}
	for _, step := range []func(*caller.LoadTest) error{v.setRoutes, v.setWorkloads, v.setCustomers, v.setManifests} {
		if err := step(l); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// setRoutes sets the routes of the calls: through the entries, directly to the
// targets, or both in turn.
func (v *callersFlags) setRoutes(l *caller.LoadTest) error {
	entries, err := parseOptional(v.entries)
	if err != nil {
		return err
	}
	engines, err := parseOptional(v.directEngine)
	if err != nil {
		return err
	}
	services, err := parseOptional(v.directService)
	if err != nil {
		return err
	}
	l.Replicas, err = parseOptional(v.replicas)
	if err != nil {
		return err
	}
	direct := caller.Route{Name: caller.RouteDirect, Chats: engines, Plain: services, Direct: true}
	if len(entries) == 0 && len(engines)+len(services) == 0 {
		return errors.New("entries: no address of an entry and no direct address")
	}
	if len(entries) == 0 {
		l.Entries = direct
		return nil
	}
	l.Entries = caller.Route{Name: caller.RouteEntry, Chats: entries, Plain: entries}
	if len(engines)+len(services) > 0 {
		l.Direct = direct
	}
	return nil
}

// parseOptional parses a list of addresses that may be empty.
func parseOptional(list string) ([]netip.AddrPort, error) {
	if list == "" {
		return nil, nil
	}
	return serve.ParseAddresses(list)
}

func (v *callersFlags) setWorkloads(l *caller.LoadTest) error {
	for _, w := range []struct {
		kind caller.Kind
		text string
		flag string
	}{
		{kind: caller.KindStream, text: v.stream, flag: "stream"},
		{kind: caller.KindWhole, text: v.whole, flag: "whole"},
		{kind: caller.KindLookup, text: v.lookups, flag: "lookups"},
		{kind: caller.KindOnce, text: v.onces, flag: "onces"},
	} {
		work, err := parseWorkload(w.kind, w.text)
		if err != nil {
			return errors.Wrapf(err, "%s %q: want workers/calls a second", w.flag, w.text)
		}
		if work.Workers > 0 {
			l.Workloads = append(l.Workloads, work)
		}
	}
	return v.checkAddresses(l)
}

// maxWorkers is the number of workers that a kind of call may have.
const maxWorkers = 4096

// parseWorkload parses workers/calls a second; without the latter there is no
// limit.
func parseWorkload(kind caller.Kind, text string) (caller.Workload, error) {
	workers, perSecond, _ := strings.Cut(text, "/")
	w := caller.Workload{Kind: kind}
	n, err := strconv.Atoi(workers)
	if err != nil {
		return w, err
	}
	if n < 0 || n > maxWorkers {
		return w, errors.Newf("want 0 to %d workers", maxWorkers)
	}
	w.Workers = n
	if perSecond == "" {
		return w, nil
	}
	w.Rate, err = strconv.ParseFloat(perSecond, 64)
	return w, err
}

// checkAddresses returns an error if a route has no address for a kind of call.
func (v *callersFlags) checkAddresses(l *caller.LoadTest) error {
	for _, route := range []caller.Route{l.Entries, l.Direct} {
		for _, w := range l.Workloads {
			chat := w.Kind == caller.KindStream || w.Kind == caller.KindWhole
			if route.Name != "" && chat && len(route.Chats) == 0 {
				return errors.Newf("%s calls: route %s has no address of an engine", w.Kind, route.Name)
			}
			if route.Name != "" && !chat && len(route.Plain) == 0 {
				return errors.Newf("%s calls: route %s has no address of a plain service", w.Kind, route.Name)
			}
		}
	}
	return nil
}

func (v *callersFlags) setCustomers(l *caller.LoadTest) error {
	for s := range strings.SplitSeq(v.customers, ",") {
		name, weight, _ := strings.Cut(s, "=")
		n, err := strconv.Atoi(weight)
		if err != nil || n < 1 || name == "" {
			return errors.Newf("customers %q: want name=weight", s)
		}
		l.Customers = append(l.Customers, caller.Customer{Name: name, Weight: n})
	}
	return nil
}

func (v *callersFlags) setManifests(l *caller.LoadTest) error {
	if v.manifests == "" {
		return nil
	}
	for s := range strings.SplitSeq(v.manifests, ",") {
		d := chunk.Digest(s)
		if err := d.Check(); err != nil {
			return err
		}
		l.Manifests = append(l.Manifests, d)
	}
	return nil
}
