// Package jsonl writes the log of a process as lines of JSON: its decisions (package
// trail), which the commands replay and explain read, and its other messages. It
// never makes a request wait for the log output, and can limit the lines per second.
// Packages proc and hosted set it up at the start of a process.
package jsonl

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

// DefaultQueueLines is the length of a Sink's queue in lines when QueueLines is 0.
const DefaultQueueLines = 4096

// Sink is an io.Writer that queues lines for Out, so that Write never blocks. Each
// Write is one line. QueueLines is the length of the queue in lines. Set the exported
// fields before the first Write.
type Sink struct {
	Out        io.Writer
	QueueLines int
	Metrics    tally.Scope

	once    sync.Once
	lines   chan []byte
	dropped atomic.Uint64
}

func (s *Sink) init() {
	s.once.Do(func() {
		n := s.QueueLines
		if n <= 0 {
			n = DefaultQueueLines
		}
		s.lines = make(chan []byte, n)
		if s.Metrics == nil {
			s.Metrics = tally.NoopScope
		}
	})
}

// routineShare is the fraction of the queue that routine lines may fill. The rest is
// reserved for the lines that an engineer looks for when the output is slow: those
// of requests that failed, were refused or were moved to another target, and of
// changes in what the process knows.
const routineShare = 0.75

// WriteRoutine queues a routine line, or drops it if the queue is filled to
// routineShare.
func (s *Sink) WriteRoutine(line []byte) (int, error) {
	s.init()
	if float64(len(s.lines)) >= routineShare*float64(cap(s.lines)) {
		s.countDropped()
		return len(line), nil
	}
	return s.Write(line)
}

func (s *Sink) countDropped() {
	s.dropped.Add(1)
	s.Metrics.Counter("log_lines_dropped_total").Inc(1)
}

// Write queues one line. If the queue is full, which means that the output is
// blocked, it drops and counts the line instead of making the caller wait. The count
// is written before the next line that gets through.
func (s *Sink) Write(line []byte) (int, error) {
	s.init()
	select {
	case s.lines <- bytes.Clone(line):
	default:
		s.countDropped()
	}
	return len(line), nil
}

// Run writes queued lines until ctx ends, and then those still in the queue. If the
// output fails, the line is lost and counted in log_lines_failed_total; Run goes on.
func (s *Sink) Run(ctx context.Context) error {
	s.init()
	for {
		select {
		case line := <-s.lines:
			s.writeWithReport(line)
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
			s.writeWithReport(line)
		default:
			s.reportDropped()
			return
		}
	}
}

func (s *Sink) writeWithReport(line []byte) {
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

// OpenOutput opens the output of a log: stderr, stdout, or a file to append to.
func OpenOutput(output string) (io.WriteCloser, error) {
	switch output {
	case "", "stderr":
		return standardStream{os.Stderr}, nil
	case "stdout":
		return standardStream{os.Stdout}, nil
	}
	f, err := os.OpenFile(output, os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o644)
	return f, operr.Wrap("open log", output, err)
}

// standardStream is stdout or stderr. Close has no effect, because the whole process
// uses the stream.
type standardStream struct{ io.Writer }

func (standardStream) Close() error { return nil }
