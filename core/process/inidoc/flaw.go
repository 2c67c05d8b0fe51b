package inidoc

import (
	"fmt"
	"strings"
)

// Flaw is one fault of an INI text: where it stands and why it is one. Key
// and Value are empty when the fault is of a whole section, and Section when
// it is of the whole file.
type Flaw struct {
	File    string
	Section string
	Key     string
	Value   string
	Reason  string
}

// Error returns the flaw as one line.
func (f Flaw) Error() string {
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

// Flaws are all the faults of a text, in the order in which they were found.
type Flaws []Flaw

// Error returns one line for each flaw.
func (f Flaws) Error() string {
	lines := make([]string, 0, len(f))
	for _, one := range f {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}

// Err returns the flaws as an error, nil when there are none.
func (f Flaws) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
