package inidoc

import (
	"fmt"
	"strings"
)

// Problem is a fault in an INI text: its location and the reason. Key and Value
// are empty if the fault concerns a whole section, and Section is empty if it
// concerns the whole file.
type Problem struct {
	File    string
	Section string
	Key     string
	Value   string
	Reason  string
}

// Error returns the problem as one line.
func (f Problem) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Section != "" {
		fmt.Fprintf(&b, ": [%s]", f.Section)
	}
	if f.Section == "" && f.Key != "" {
		b.WriteString(":")
	}
	if f.Key != "" {
		fmt.Fprintf(&b, " %s", f.Key)
	}
	if f.Value != "" {
		fmt.Fprintf(&b, " = %q", f.Value)
	}
	fmt.Fprintf(&b, ": %s", f.Reason)
	return b.String()
}

// Problems lists the faults of a text in the order in which they were found.
type Problems []Problem

// Error returns one line for each problem.
func (f Problems) Error() string {
	lines := make([]string, 0, len(f))
	for _, problem := range f {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil if it is empty.
func (f Problems) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
