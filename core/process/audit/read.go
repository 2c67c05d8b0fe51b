package audit

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"hawthornferry/core/process/operr"
	"hawthornferry/core/process/trail"
)

// maxLineBytes bounds the length of a line of a log. Reading fails at a longer
// line.
const maxLineBytes = 1 << 20

// ParsedLog is the content of one log. Malformed is the number of lines that
// could not be parsed: a killed process can leave an incomplete line, and if it
// is restarted with the same file, its first record is appended to that line.
type ParsedLog struct {
	Decisions []trail.Decision
	Malformed int
}

// Read reads the decisions from a log of JSON lines. It skips lines without an
// area, which are ordinary log messages, and lines that do not begin with "{".
// name stands for the log in errors.
func Read(name string, r io.Reader) (ParsedLog, error) {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	var out ParsedLog
	for in.Scan() {
		if !bytes.HasPrefix(in.Bytes(), []byte("{")) {
			continue
		}
		var d trail.Decision
		if err := json.Unmarshal(in.Bytes(), &d); err != nil {
			out.Malformed++
			continue
		}
		if d.Area != "" {
			out.Decisions = append(out.Decisions, d)
		}
	}
	return out, operr.Wrap("read log", name, in.Err())
}
