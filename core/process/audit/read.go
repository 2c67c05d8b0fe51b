package audit

import (
	"bufio"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fault"
	"hawthornferry/core/process/trail"
)

// maxLine bounds one line of a log in bytes.
const maxLine = 1 << 20

// Read returns the decisions of a log of JSON lines. Lines without an area
// are other log lines and are passed over. A last line that is cut off, as a
// killed process leaves it, is passed over too.
func Read(name string, r io.Reader) ([]trail.Decision, error) {
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	var out []trail.Decision
	var broken error
	for n := 1; in.Scan(); n++ {
		if broken != nil {
			return nil, broken
		}
		if len(in.Bytes()) == 0 {
			continue
		}
		var d trail.Decision
		if err := json.Unmarshal(in.Bytes(), &d); err != nil {
			broken = fault.At("read log", name, errors.Wrapf(err, "line %d", n))
			continue
		}
		if d.Area != "" {
			out = append(out, d)
		}
	}
	return out, fault.At("read log", name, in.Err())
}
