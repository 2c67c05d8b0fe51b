package inidoc

import (
	"fmt"
	"strings"
)

// Problem is what is wrong at one place of an INI text: its location and the
// reason. Key and Value are empty if the problem concerns a whole section, and
// Section is empty if it concerns the whole file.
type Problem struct {
	File    string
	Section string
	Key     string
	Value   string
	Reason  string
}

// Error returns the problem as one line.
func (p Problem) Error() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Section != "" {
		fmt.Fprintf(&b, ": [%s]", p.Section)
	}
	if p.Section == "" && p.Key != "" {
		b.WriteString(":")
	}
	if p.Key != "" {
		fmt.Fprintf(&b, " %s", p.Key)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, " = %q", p.Value)
	}
	fmt.Fprintf(&b, ": %s", p.Reason)
	return b.String()
}

// Problems lists the problems of a text in the order in which they were found.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Err returns p as an error, or nil if it is empty.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
