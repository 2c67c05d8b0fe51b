// Command standin runs one case of the review: it starts the project's own programs as
// processes, stands in for the platform, the replicas and the clients, and checks one rule.
// It uses the standard library only.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(e *env) error{
	"whole":   runWhole,
	"revoked": runRevoked,
	"slashes": runSlashes,
}

// errNotRun is returned by a case that could not be carried out.
var errNotRun = errors.New("the case could not run")

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	binary := flag.String("bin", "target/hawthornferry", "the project's program")
	keep := flag.String("keep", "", "folder for settings and logs; empty for a temporary one")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case")
		return exitNotRun
	}
	out, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.Close()
	bin, err := filepath.Abs(*binary)
	if err != nil {
		return exitNotRun
	}
	e := &env{trouble: os.Getenv("TROUBLE") != "0", binary: bin, dir: *keep, began: time.Now(), out: out}
	if e.dir == "" {
		if e.dir, err = os.MkdirTemp("", "review"); err != nil {
			return exitNotRun
		}
		defer os.RemoveAll(e.dir)
	}
	if err := e.chooseNet(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- play(e) }()
	select {
	case err = <-done:
	case <-stop:
		err = errNotRun
	case <-time.After(110 * time.Second):
		err = fmt.Errorf("%w: out of time", errNotRun)
	}
	e.stopAll()
	switch {
	case e.violated():
		e.logf("result: rule broken: %s", e.broken)
		fmt.Println("rule broken:", e.broken)
		return exitBroken
	case err != nil:
		e.logf("result: not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	default:
		e.logf("result: rule held")
		fmt.Println("rule held")
		return exitHeld
	}
}
