package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/integrii/flaggy"
	"github.com/jonboulle/clockwork"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/standin/engine"
	"hawthornferry/standin/serve"
)

// engineFlags are the flags of the engine command.
type engineFlags struct {
	listen       string
	fencing      string
	loadTime     time.Duration
	switchTime   time.Duration
	tokenDelay   time.Duration
	prefillDelay time.Duration
	capacity     int
	queue        int
	reportLag    time.Duration
	cacheBlocks  int
	eventLag     time.Duration
	eventGap     uint64
}

// engineCommand runs a stand-in for a model engine on each address.
func engineCommand() command {
	v := engineFlags{
		listen:       "127.0.0.1:7001",
		fencing:      string(envdoc.FencingChecked),
		loadTime:     2 * time.Second,
		switchTime:   50 * time.Millisecond,
		tokenDelay:   5 * time.Millisecond,
		prefillDelay: time.Millisecond,
		capacity:     8,
		queue:        64,
		reportLag:    500 * time.Millisecond,
		cacheBlocks:  1024,
		eventLag:     500 * time.Millisecond,
		eventGap:     17,
	}
	f := flaggy.NewSubcommand("engine")
	f.Description = "model engines, one on each address"
	f.String(&v.listen, "", "listen", "IP:port of each engine, separated by commas")
	f.String(&v.fencing, "", "fencing", "checked or ignored: whether an order with an old number is refused")
	f.Duration(&v.loadTime, "", "load-time", "how long a load takes")
	f.Duration(&v.switchTime, "", "switch-time", "how long the engine answers 503 at the end of a load")
	f.Duration(&v.tokenDelay, "", "token-delay", "time for each token")
	f.Duration(&v.prefillDelay, "", "prefill-delay", "time for each block of the prompt that is not cached")
	f.Int(&v.capacity, "", "capacity", "generations that run at once")
	f.Int(&v.queue, "", "queue", "generations that wait")
	f.Duration(&v.reportLag, "", "report-lag", "greatest age of the reported numbers of running and queued generations")
	f.Int(&v.cacheBlocks, "", "cache-blocks", "prompt blocks in the prefix cache")
	f.Duration(&v.eventLag, "", "event-lag", "delay of cache events")
	f.UInt64(&v.eventGap, "", "event-gap", "N: every N-th cache event is left out; 0: none")
	return command{flags: f, run: v.run}
}

func (v *engineFlags) run(ctx context.Context) error {
	addresses, err := serve.ParseAddresses(v.listen)
	if err != nil {
		return usageError{err}
	}
	fencing := envdoc.Fencing(v.fencing)
	if fencing != envdoc.FencingChecked && fencing != envdoc.FencingIgnored {
		return usageError{errors.Newf("fencing %q: want checked or ignored", v.fencing)}
	}
	pool := &engine.ChunkPool{}
	var endpoints []serve.Endpoint
	for _, a := range addresses {
		endpoints = append(endpoints, serve.Endpoint{Address: a, Handler: v.engine(fencing, pool).Handler()})
	}
	return serve.Run(ctx, endpoints)
}

func (v *engineFlags) engine(fencing envdoc.Fencing, pool *engine.ChunkPool) *engine.Engine {
	return &engine.Engine{
		Boot:         uuid.NewString(),
		Fencing:      fencing,
		Pool:         pool,
		LoadTime:     v.loadTime,
		SwitchTime:   v.switchTime,
		TokenDelay:   v.tokenDelay,
		PrefillDelay: v.prefillDelay,
		Capacity:     v.capacity,
		MaxQueue:     v.queue,
		ReportLag:    v.reportLag,
		CacheBlocks:  v.cacheBlocks,
		EventLag:     v.eventLag,
		EventGap:     v.eventGap,
		Clock:        clockwork.NewRealClock(),
	}
}
