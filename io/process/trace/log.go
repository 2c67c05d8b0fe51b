package trace

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

// Log is a trail.Log that writes through Logger. Set the exported fields
// before the first decision.
type Log struct {
	Process string
	// Boot is written with each line; empty where the process tells it by itself,
	// as it takes an eighth of a line.
	Boot   string
	Clock  clockwork.Clock
	Logger *logrus.Logger
	// Routine tells the decisions that are left out first when the output is
	// slow; nil for none.
	Routine func(d trail.Decision) bool
	// Budget bounds the lines of a second; nil for no bound.
	Budget *Budget
}

var _ trail.Log = (*Log)(nil)

// timeUnit is the precision of a line's time.
const timeUnit = time.Microsecond

// decisionField is the logrus field that holds the trail.Decision of a line.
const decisionField = "decision"

// Record writes one decision, whatever the least level of the logger: a log
// without some of its decisions would tell the replay command of outcomes
// that never were. The output must take concurrent writes, as a Sink does.
func (l *Log) Record(d trail.Decision) {
	d.Time = l.Clock.Now().Truncate(timeUnit)
	d.Process = l.Process
	d.Boot = cmp.Or(l.Boot, d.Boot)
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

// routineWriter is an output that leaves routine lines out first.
type routineWriter interface {
	WriteRoutine(line []byte) (int, error)
}

func (l *Log) write(d trail.Decision, b []byte) error {
	routine := l.Routine != nil && l.Routine(d)
	if l.Budget == nil {
		return l.put(routine, b)
	}
	for _, line := range l.Budget.pass(d, routine, b) {
		if err := l.put(routine, line); err != nil {
			return err
		}
	}
	return nil
}

func (l *Log) put(routine bool, b []byte) error {
	if w, ok := l.Logger.Out.(routineWriter); ok && routine {
		_, err := w.WriteRoutine(b)
		return err
	}
	_, err := l.Logger.Out.Write(b)
	return err
}

// NewLogger returns a logger of JSON lines at the given least level, one of
// debug, info, warning and error. Decisions have none.
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

// formatter writes a decision with its own tags, so that the replay command
// decodes it into the same type, and anything else as logrus does.
type formatter struct {
	plain logrus.JSONFormatter
}

// Format returns one line.
func (f *formatter) Format(e *logrus.Entry) ([]byte, error) {
	d, ok := e.Data[decisionField].(trail.Decision)
	if !ok {
		return f.plain.Format(e)
	}
	var b bytes.Buffer
	err := json.NewEncoder(&b).Encode(d)
	return b.Bytes(), err
}

// dropped is the line that stands for lines that were dropped.
type dropped struct {
	Level   string `json:"level"`
	Message string `json:"msg"`
	Lines   uint64 `json:"lines"`
}

func droppedLine(n uint64) []byte {
	d := dropped{Level: logrus.WarnLevel.String(), Message: "log lines dropped: the output is too slow", Lines: n}
	b, err := json.Marshal(d)
	if err != nil {
		return nil
	}
	return append(b, '\n')
}
