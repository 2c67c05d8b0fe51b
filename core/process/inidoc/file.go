// Package inidoc parses INI texts and reports all their problems, not only the first:
// duplicate sections and keys, unknown keys, and invalid values. Settings files
// (io/process/conf) and environment documents (core/process/envdoc) are both read
// with it.
package inidoc

import (
	"strings"

	"gopkg.in/ini.v1"
)

// MaxBytes is the maximum size of a text. It equals the maximum size of a value in
// the configuration service.
const MaxBytes = 1 << 20

// MaxSectionBytes is the maximum total size of the keys and values of one section.
// Processes send each other sections one by one, each in a single message.
const MaxSectionBytes = 32 << 10

// File is a parsed text. Problems lists its problems; reading the values of its
// sections adds to it.
type File struct {
	Name     string
	Sections []*Section
	Problems Problems

	byName map[string]*Section
}

// Section is one section of a file.
type Section struct {
	Name string

	file *File
	keys []KeyValue
	used map[string]bool
}

// KeyValue is a key of a section and the text of its value.
type KeyValue struct {
	Key   string `json:"k"`
	Value string `json:"v"`
}

// RawSection is the content of a section without its file, in the form in which
// processes send it to each other. It preserves the exact text of each value;
// formatting a section as INI and parsing it again might not, for values with
// quotes or comment characters.
type RawSection struct {
	Name  string
	Pairs []KeyValue
}

func (c RawSection) byteSize() int {
	n := 0
	for _, p := range c.Pairs {
		n += len(p.Key) + len(p.Value)
	}
	return n
}

// FromSections makes a file from sections that were received separately. name is
// the file's name in problems.
func FromSections(name string, contents []RawSection) *File {
	f := newFile(name)
	for _, c := range contents {
		f.addSection(c)
	}
	return f
}

// RawSections returns the sections of the file.
func (f *File) RawSections() []RawSection {
	out := make([]RawSection, 0, len(f.Sections))
	for _, s := range f.Sections {
		out = append(out, RawSection{Name: s.Name, Pairs: s.keys})
	}
	return out
}

func (f *File) addSection(c RawSection) {
	if f.Section(c.Name) != nil {
		f.addProblem(Problem{Section: c.Name, Reason: "section appears twice"})
		return
	}
	if c.byteSize() > MaxSectionBytes {
		f.addProblem(Problem{Section: c.Name, Reason: "section is longer than 32 KiB"})
	}
	s := &Section{Name: c.Name, file: f, keys: c.Pairs, used: map[string]bool{}}
	f.Sections = append(f.Sections, s)
	f.byName[s.Name] = s
}

func newFile(name string) *File {
	return &File{Name: name, byName: map[string]*Section{}}
}

// Parse parses an INI text. name is the file's name in problems. If the text is too
// long or not INI at all, the File has no sections and one problem.
func Parse(name string, b []byte) *File {
	f := newFile(name)
	if len(b) > MaxBytes {
		f.addProblem(Problem{Reason: "longer than 1 MiB"})
		return f
	}
	text, err := ini.LoadSources(loadOptions(), b)
	if err != nil {
		f.addProblem(Problem{Reason: oneLine(err)})
		return f
	}
	for _, s := range text.Sections() {
		f.addINISection(s)
	}
	return f
}

// loadOptions returns options with which the parser keeps duplicate sections and
// keys, so that they can be reported, and does not alter values.
func loadOptions() ini.LoadOptions {
	return ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
	}
}

func (f *File) addINISection(s *ini.Section) {
	if s.Name() == ini.DefaultSection {
		for _, k := range s.Keys() {
			f.addProblem(Problem{Key: k.Name(), Value: k.Value(), Reason: "stands outside of any section"})
		}
		return
	}
	c := RawSection{Name: s.Name()}
	for _, k := range s.Keys() {
		all := k.ValueWithShadows()
		if len(all) > 1 {
			f.addProblem(Problem{Section: c.Name, Key: k.Name(), Value: all[len(all)-1], Reason: "key appears twice"})
		}
		c.Pairs = append(c.Pairs, KeyValue{Key: k.Name(), Value: k.Value()})
	}
	f.addSection(c)
}

func (f *File) addProblem(problem Problem) {
	problem.File = f.Name
	f.Problems = append(f.Problems, problem)
}

// Reject records a problem of the whole file.
func (f *File) Reject(reason string) { f.addProblem(Problem{Reason: reason}) }

// Section returns the section with the given name, or nil if there is none.
func (f *File) Section(name string) *Section { return f.byName[name] }

// Reject records a problem of one key of the section; key and value may be empty.
func (s *Section) Reject(key, value, reason string) {
	s.file.addProblem(Problem{Section: s.Name, Key: key, Value: value, Reason: reason})
}

// Take returns the value of key, if there is one, and marks the key as known for
// RejectUnknownKeys.
func (s *Section) Take(key string) (string, bool) {
	s.used[key] = true
	for _, p := range s.keys {
		if p.Key == key {
			return p.Value, true
		}
	}
	return "", false
}

// KeySuffixes returns, for each key that starts with prefix, the part after the
// prefix, in the order of the text.
func (s *Section) KeySuffixes(prefix string) []string {
	var out []string
	for _, p := range s.keys {
		if rest, ok := strings.CutPrefix(p.Key, prefix); ok {
			out = append(out, rest)
		}
	}
	return out
}

// RejectUnknownKeys records a problem for each unknown key, that is each key for
// which Take was not called. Call it after reading all known keys.
func (s *Section) RejectUnknownKeys() {
	for _, p := range s.keys {
		if !s.used[p.Key] {
			s.Reject(p.Key, p.Value, "unknown key")
		}
	}
}

// Optional returns the parsed value of key, or def if the key is missing or its
// value is invalid. An invalid value is recorded as a problem.
func Optional[T any](s *Section, key string, def T, parse func(string) (T, error)) T {
	text, ok := s.Take(key)
	if !ok {
		return def
	}
	v, err := parse(text)
	if err != nil {
		s.Reject(key, text, err.Error())
		return def
	}
	return v
}

// Required is like Optional with the zero value as default, but records a problem
// if the key is missing.
func Required[T any](s *Section, key string, parse func(string) (T, error)) T {
	var zero T
	if _, ok := s.Take(key); !ok {
		s.Reject(key, "", "missing")
		return zero
	}
	return Optional(s, key, zero, parse)
}

func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}
