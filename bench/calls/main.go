// Command calls measures the overhead of the call path: the same calls go
// alternately to a target directly and through an entry, a session and a side, all
// in this process over loopback sockets. It exits when all slices are done.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/pprof"
	"time"
)

// options holds the command-line flags.
type options struct {
	workers  int
	slice    time.Duration
	rounds   int
	tokens   int
	kind     string
	route    string
	profile  string
	bodySize int
}

func main() {
	var s options
	flag.IntVar(&s.workers, "workers", 16, "concurrent callers")
	flag.DurationVar(&s.slice, "slice", time.Second, "how long each route is called before the next one")
	flag.IntVar(&s.rounds, "rounds", 4, "slices for each route")
	flag.IntVar(&s.tokens, "tokens", 64, "tokens of a stream")
	flag.StringVar(&s.kind, "kind", "", "lookup, once or stream; all when empty")
	flag.StringVar(&s.route, "lane", "", "direct or entry; both when empty")
	flag.StringVar(&s.profile, "profile", "", "file for a CPU profile")
	flag.IntVar(&s.bodySize, "body", 256, "bytes of a request's body")
	flag.Parse()
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "calls:", err)
		os.Exit(1)
	}
}

func run(s options) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w, err := newTestbed(ctx, s.tokens)
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
