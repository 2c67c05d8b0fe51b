package audit

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/process/trail"
)

// maxLine bounds one line of a log in bytes.
const maxLine = 1 << 20

// Log is what was read of one log. Broken counts the lines that could not be
// read: a killed process leaves a line cut off, and one that is started again
// on the same file puts its first line behind the cut.
type Log struct {
	Decisions []trail.Decision
	Broken    int
}

// Read reads a log of JSON lines. Lines without an area are other log lines
// and are passed over, as are lines that are not JSON objects.
func Read(name string, r io.Reader) (Log, error) {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	var out Log
	for in.Scan() {
		if !bytes.HasPrefix(in.Bytes(), []byte("{")) {
			continue
		}
		var d trail.Decision
		if err := json.Unmarshal(in.Bytes(), &d); err != nil {
			out.Broken++
			continue
		}
		if d.Area != "" {
			out.Decisions = append(out.Decisions, d)
		}
	}
	return out, fault.At("read log", name, in.Err())
}
