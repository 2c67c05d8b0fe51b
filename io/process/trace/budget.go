package trace

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

// mostHeld bounds the requests whose lines are held back at a time.
const mostHeld = 4096

// Budget bounds the lines of each kind that are written in a second. A kind is
// the action that a line tells; routine lines are kinds of their own. Above its
// budget the routine lines of a request are held back until it ends: one that went
// well is left out whole, and one that failed, was refused or was moved keeps its
// whole story. What is left out is counted and told in a line of its own. Set the
// exported fields before the first call; a nil Budget bounds nothing.
type Budget struct {
	// PerSecond is how many lines of one kind pass in a second.
	PerSecond int
	// RoutinePerSecond is the same for routine lines; 0 stands for PerSecond.
	RoutinePerSecond int
	// Metrics counts the lines that are left out; nil for no count.
	Metrics tally.Scope

	mu    sync.Mutex
	begun time.Time
	used  map[lineKind]int
	left  map[string]int
	held  map[string][]heldLine
}

// lineKind is what has a budget of its own.
type lineKind struct {
	action  string
	routine bool
}

// heldLine is a line that waits for the end of its request.
type heldLine struct {
	action string
	line   []byte
}

// pass returns the lines to be written now that d, whose line is given, is
// decided.
func (b *Budget) pass(d trail.Decision, routine bool, line []byte) [][]byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.turn(d.Time)
	kind := lineKind{d.Action, routine}
	if routine && (b.held[d.Request] != nil || b.used[kind] >= cmp.Or(b.RoutinePerSecond, b.PerSecond)) {
		b.hold(d, line)
		return out
	}
	for _, h := range b.held[d.Request] {
		out = append(out, h.line)
	}
	delete(b.held, d.Request)
	if b.used[kind] >= b.PerSecond {
		b.left[d.Action]++
		return out
	}
	b.used[kind]++
	return append(out, line)
}

// ended is the action of the last line of a request.
const ended = "answer"

// hold keeps a routine line back, or leaves a request out that went well.
func (b *Budget) hold(d trail.Decision, line []byte) {
	lines := append(b.held[d.Request], heldLine{d.Action, line})
	if d.Action != ended && len(b.held) < mostHeld {
		b.held[d.Request] = lines
		return
	}
	for _, h := range lines {
		b.left[h.action]++
	}
	delete(b.held, d.Request)
}

// turn begins a new second when the last one is over, and returns the lines that
// tell what was left out in it.
func (b *Budget) turn(now time.Time) [][]byte {
	if b.used != nil && now.Sub(b.begun) < time.Second && !now.Before(b.begun) {
		return nil
	}
	var out [][]byte
	for action, n := range b.left {
		b.count(action, n)
		out = append(out, leftLine(now, action, n))
	}
	slices.SortFunc(out, func(x, y []byte) int { return cmp.Compare(string(x), string(y)) })
	b.begun, b.used, b.left = now, map[lineKind]int{}, map[string]int{}
	if b.held == nil {
		b.held = map[string][]heldLine{}
	}
	return out
}

func (b *Budget) count(action string, n int) {
	if b.Metrics != nil {
		b.Metrics.Tagged(map[string]string{"action": action}).Counter("log_lines_left_out_total").Inc(int64(n))
	}
}

// leftOut is the line that stands for lines over their budget.
type leftOut struct {
	Level   string    `json:"level"`
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Action  string    `json:"action"`
	Lines   int       `json:"lines"`
}

func leftLine(now time.Time, action string, n int) []byte {
	l := leftOut{Level: logrus.WarnLevel.String(), Time: now, Message: "log lines left out: over the budget of their kind", Action: action, Lines: n}
	b, err := json.Marshal(l)
	if err != nil {
		// A struct of plain fields always encodes.
		return nil
	}
	return append(b, '\n')
}
