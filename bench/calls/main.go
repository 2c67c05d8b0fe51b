// Command calls measures what the call path adds to a call: the same calls go
// in turn straight to a target and through an entry, a session and a side, all
// in this process over loopback sockets. It ends by itself.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/pprof"
	"time"
)

// settings are the flags.
type settings struct {
	workers  int
	slice    time.Duration
	rounds   int
	tokens   int
	kind     string
	lane     string
	profile  string
	bodySize int
}

func main() {
	var s settings
	flag.IntVar(&s.workers, "workers", 16, "callers at once")
	flag.DurationVar(&s.slice, "slice", time.Second, "how long each lane is called in turn")
	flag.IntVar(&s.rounds, "rounds", 4, "turns of each lane")
	flag.IntVar(&s.tokens, "tokens", 64, "tokens of a stream")
	flag.StringVar(&s.kind, "kind", "", "lookup, once or stream; all when empty")
	flag.StringVar(&s.lane, "lane", "", "direct or entry; both when empty")
	flag.StringVar(&s.profile, "profile", "", "file for a processor profile")
	flag.IntVar(&s.bodySize, "body", 256, "bytes of a request's body")
	flag.Parse()
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "calls:", err)
		os.Exit(1)
	}
}

func run(s settings) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w, err := newWorld(ctx, s.tokens)
	if err != nil {
		return err
	}
	stop, err := startProfile(s.profile)
	if err != nil {
		return err
	}
	defer stop()
	for _, k := range kinds {
		if s.kind != "" && s.kind != k.name {
			continue
		}
		if err := measure(s, w, k); err != nil {
			return err
		}
	}
	return nil
}

func startProfile(path string) (func(), error) {
	if path == "" {
		return func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	}, nil
}
