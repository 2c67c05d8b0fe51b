// Package trace writes the logs of a process: its decisions and its ordinary
// messages, one JSON object a line. The replay command reads the decisions.
package trace

import (
	"bytes"
	"context"
	"io"
	"os"
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/operr"
)

// DefaultBuffer is the number of lines that wait when Buffer is 0.
const DefaultBuffer = 4096

// Sink is a writer of lines that never waits for its output. Each Write is
// one line. Set the exported fields before the first Write.
type Sink struct {
	Out     io.Writer
	Buffer  int
	Metrics tally.Scope

	once    sync.Once
	lines   chan []byte
	dropped atomic.Uint64
}

func (s *Sink) init() {
	s.once.Do(func() {
		n := s.Buffer
		if n <= 0 {
			n = DefaultBuffer
		}
		s.lines = make(chan []byte, n)
		if s.Metrics == nil {
			s.Metrics = tally.NoopScope
		}
	})
}

// routineShare is the part of the queue that routine lines may fill. When the
// output is slow the rest is kept for lines that an engineer will look for:
// requests that failed, were refused or were moved, and what changed a belief.
const routineShare = 0.75

// WriteRoutine queues a line that may be left out before others.
func (s *Sink) WriteRoutine(line []byte) (int, error) {
	s.init()
	if float64(len(s.lines)) >= routineShare*float64(cap(s.lines)) {
		s.drop()
		return len(line), nil
	}
	return s.Write(line)
}

func (s *Sink) drop() {
	s.dropped.Add(1)
	s.Metrics.Counter("log_lines_dropped_total").Inc(1)
}

// Write queues one line. A full queue means that the reader of the output is
// stuck; waiting for it would stall every caller, so the line is dropped and
// counted instead, and the count is written as soon as lines pass again.
func (s *Sink) Write(line []byte) (int, error) {
	s.init()
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.drop()
	}
	return len(line), nil
}

// Run writes the queued lines until ctx ends, and then those still queued. An
// output that fails costs its lines, which are counted, and not the process.
func (s *Sink) Run(ctx context.Context) error {
	s.init()
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		case <-ctx.Done():
			s.drain()
			return nil
		}
	}
}

func (s *Sink) drain() {
	for {
		select {
		case line := <-s.lines:
			s.put(line)
		default:
			s.reportDropped()
			return
		}
	}
}

func (s *Sink) put(line []byte) {
	s.reportDropped()
	s.write(line)
}

func (s *Sink) reportDropped() {
	if n := s.dropped.Swap(0); n > 0 {
		s.write(droppedLine(n))
	}
}

func (s *Sink) write(line []byte) {
	if _, err := s.Out.Write(line); err != nil {
		s.Metrics.Counter("log_lines_failed_total").Inc(1)
	}
}

// Open opens the output of a log: stderr, stdout, or a file to append to.
func Open(output string) (io.WriteCloser, error) {
	switch output {
	case "", "stderr":
		return standard{os.Stderr}, nil
	case "stdout":
		return standard{os.Stdout}, nil
	}
	f, err := os.OpenFile(output, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o644)
	return f, operr.Wrap("open log", output, err)
}

// standard is a stream that belongs to the whole process and stays open.
type standard struct{ io.Writer }

func (standard) Close() error { return nil }
