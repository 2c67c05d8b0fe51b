package jsonl

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/process/trail"
)

// Log is a trail.Log that writes each decision as a line of JSON to Logger's output.
// Set the exported fields before the first decision.
type Log struct {
	Process string
	// Boot is written with each line. It is empty if the process logs its boot in
	// some other way, since it takes an eighth of a line.
	Boot   string
	Clock  clockwork.Clock
	Logger *logrus.Logger
	// Routine reports whether a decision is routine: its line is the first to be
	// omitted when the output is slow or the RateLimiter's limit is reached. nil
	// means that none is.
	Routine func(d trail.Decision) bool
	// RateLimiter limits the lines written per second; nil for no limit.
	RateLimiter *RateLimiter
}

var _ trail.Log = (*Log)(nil)

// timeUnit is the precision of a line's time.
const timeUnit = time.Microsecond

// decisionField is the logrus field that holds the trail.Decision of a line.
const decisionField = "decision"

// Record writes one decision at any level of the logger: if the level could suppress
// decisions, the replay command would report violations that did not happen. The
// output must be safe for concurrent writes, as a Sink is.
func (l *Log) Record(d trail.Decision) {
	d.Time = l.Clock.Now().Truncate(timeUnit)
	d.Process = l.Process
	d.Boot = cmp.Or(l.Boot, d.Boot)
	d.SplitRevision()
	e := l.Logger.WithField(decisionField, d)
	e.Level = logrus.InfoLevel
	b, err := l.Logger.Formatter.Format(e)
	if err == nil {
		err = l.write(d, b)
	}
	if err != nil {
		l.Logger.WithError(err).Error("decision is not logged")
	}
}

// routineWriter is an output that drops routine lines before others, such as Sink.
type routineWriter interface {
	WriteRoutine(line []byte) (int, error)
}

func (l *Log) write(d trail.Decision, b []byte) error {
	routine := l.Routine != nil && l.Routine(d)
	if l.RateLimiter == nil {
		return l.writeLine(routine, b)
	}
	for _, line := range l.RateLimiter.admit(d, routine, b) {
		if err := l.writeLine(routine, line); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) writeLine(routine bool, b []byte) error {
	if w, ok := l.Logger.Out.(routineWriter); ok && routine {
		_, err := w.WriteRoutine(b)
		return err
	}
	_, err := l.Logger.Out.Write(b)
	return err
}

// NewLogger returns a logger that writes JSON lines of at least the given level:
// debug, info, warning or error. The level does not apply to decisions.
func NewLogger(w io.Writer, level string) (*logrus.Logger, error) {
	least, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, operr.Wrap("set log level", "", err)
	}
	l := logrus.New()
	l.SetOutput(w)
	l.SetLevel(least)
	l.SetFormatter(&formatter{})
	return l, nil
}

// formatter formats a decision with the JSON tags of trail.Decision, so that the
// replay command can decode it into the same type, and any other message as
// logrus.JSONFormatter does.
type formatter struct {
	fallback logrus.JSONFormatter
}

// Format returns the line for one log entry.
func (f *formatter) Format(e *logrus.Entry) ([]byte, error) {
	d, ok := e.Data[decisionField].(trail.Decision)
	if !ok {
		return f.fallback.Format(e)
	}
	var b bytes.Buffer
	err := json.NewEncoder(&b).Encode(d)
	return b.Bytes(), err
}

// droppedReport is the line that stands for lines that were dropped.
type droppedReport struct {
	Level   string `json:"level"`
	Message string `json:"msg"`
	Lines   uint64 `json:"lines"`
}

func droppedLine(n uint64) []byte {
	d := droppedReport{Level: logrus.WarnLevel.String(), Message: "log lines dropped: the output is too slow", Lines: n}
	b, err := json.Marshal(d)
	if err != nil {
		return nil
	}
	return append(b, '\n')
}
