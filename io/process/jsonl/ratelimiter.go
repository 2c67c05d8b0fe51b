package jsonl

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"hawthornferry/core/process/trail"
)

// maxHeldRequests is the maximum number of requests whose lines are held back at a
// time. Beyond it, routine lines of further requests are omitted at once.
const maxHeldRequests = 4096

// RateLimiter limits how many lines of each kind a Log writes per second. Lines of one
// action are one kind, and routine lines of that action are a kind of their own.
// Routine lines over the limit are held back until their request ends. If it
// succeeds, they are all omitted; if it fails, is refused or is moved to another
// target, they are written, so that the log has every line on it. Other lines over
// the limit are omitted. Lines that are omitted are counted, and one line per action
// reports their number. Set the exported fields before the first call.
type RateLimiter struct {
	// PerSecond is the maximum number of lines of one kind that are written per
	// second.
	PerSecond int
	// RoutinePerSecond is the same for routine lines; 0 means PerSecond.
	RoutinePerSecond int
	// Metrics counts the lines that are omitted; nil for no count.
	Metrics tally.Scope

	mu          sync.Mutex
	secondStart time.Time
	written     map[lineKind]int
	omitted     map[string]int
	held        map[string][]heldLine
}

// lineKind identifies the lines that share a limit.
type lineKind struct {
	action  string
	routine bool
}

// heldLine is a line that is held back until its request ends.
type heldLine struct {
	action string
	line   []byte
}

// admit returns the lines to write now, given the decision d and its line: the
// report of a second that is over, lines of the request that were held back, and
// line itself unless it is held back or omitted.
func (l *RateLimiter) admit(d trail.Decision, routine bool, line []byte) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.startSecond(d.Time)
	kind := lineKind{d.Action, routine}
	if routine && (l.held[d.Request] != nil || l.written[kind] >= cmp.Or(l.RoutinePerSecond, l.PerSecond)) {
		l.holdOrOmit(d, line)
		return out
	}
	for _, h := range l.held[d.Request] {
		out = append(out, h.line)
	}
	delete(l.held, d.Request)
	if l.written[kind] >= l.PerSecond {
		l.omitted[d.Action]++
		return out
	}
	l.written[kind]++
	return append(out, line)
}

// answerAction is the action of the last line of a request.
const answerAction = "answer"

// holdOrOmit holds a routine line back. If the request ends with it, or too many
// requests are held back, it omits all lines of the request.
func (l *RateLimiter) holdOrOmit(d trail.Decision, line []byte) {
	lines := append(l.held[d.Request], heldLine{d.Action, line})
	if d.Action != answerAction && len(l.held) < maxHeldRequests {
		l.held[d.Request] = lines
		return
	}
	for _, h := range lines {
		l.omitted[h.action]++
	}
	delete(l.held, d.Request)
}

// startSecond starts a new second when the current one is over, and returns the
// lines that report what was omitted in it.
func (l *RateLimiter) startSecond(now time.Time) [][]byte {
	if l.written != nil && now.Sub(l.secondStart) < time.Second && !now.Before(l.secondStart) {
		return nil
	}
	var out [][]byte
	for action, n := range l.omitted {
		l.countOmitted(action, n)
		out = append(out, omittedLine(now, action, n))
	}
	slices.SortFunc(out, func(x, y []byte) int { return cmp.Compare(string(x), string(y)) })
	l.secondStart, l.written, l.omitted = now, map[lineKind]int{}, map[string]int{}
	if l.held == nil {
		l.held = map[string][]heldLine{}
	}
	return out
}

func (l *RateLimiter) countOmitted(action string, n int) {
	if l.Metrics != nil {
		l.Metrics.Tagged(map[string]string{"action": action}).Counter("log_lines_left_out_total").Inc(int64(n))
	}
}

// omittedReport is the line that reports how many lines of an action were omitted.
type omittedReport struct {
	Level   string    `json:"level"`
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Action  string    `json:"action"`
	Lines   int       `json:"lines"`
}

func omittedLine(now time.Time, action string, n int) []byte {
	l := omittedReport{Level: logrus.WarnLevel.String(), Time: now, Message: "log lines left out: over the budget of their kind", Action: action, Lines: n}
	b, err := json.Marshal(l)
	if err != nil {
		// Not reached: the struct contains only types that json can encode.
		return nil
	}
	return append(b, '\n')
}
