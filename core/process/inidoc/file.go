// Package inidoc reads INI texts and keeps all their faults, not just the
// first: duplicate sections and keys, unknown keys, and values that do not
// parse. Settings and environment documents are both read through it.
package inidoc

import (
	"strings"

	"gopkg.in/ini.v1"
)

// MaxBytes is the most that a text may hold, the bound of a value of the
// configuration service.
const MaxBytes = 1 << 20

// MaxSection is the most bytes that the keys and values of one section may
// hold; sections go from process to process one by one, each in one message.
const MaxSection = 32 << 10

// File is a parsed text. Flaws grows while its sections are read.
type File struct {
	Name     string
	Sections []*Section
	Flaws    Flaws

	byName map[string]*Section
}

// Section is one section of a file.
type Section struct {
	Name string

	file *File
	keys []Pair
	used map[string]bool
}

// Pair is one key of a section with the text of its value.
type Pair struct {
	Key   string `json:"k"`
	Value string `json:"v"`
}

// Content is a section apart from its file, as it goes from process to
// process. A value keeps its exact text, which writing it as INI and reading
// it again would not promise for quotes and comment signs.
type Content struct {
	Name string
	Keys []Pair
}

func (c Content) size() int {
	n := 0
	for _, p := range c.Keys {
		n += len(p.Key) + len(p.Value)
	}
	return n
}

// Assemble makes a file of sections that came one by one. name stands for
// the text in flaws.
func Assemble(name string, contents []Content) *File {
	f := newFile(name)
	for _, c := range contents {
		f.addContent(c)
	}
	return f
}

// Contents returns the sections of the file.
func (f *File) Contents() []Content {
	out := make([]Content, 0, len(f.Sections))
	for _, s := range f.Sections {
		out = append(out, Content{Name: s.Name, Keys: s.keys})
	}
	return out
}

func (f *File) addContent(c Content) {
	if f.Section(c.Name) != nil {
		f.add(Flaw{Section: c.Name, Reason: "section appears twice"})
		return
	}
	if c.size() > MaxSection {
		f.add(Flaw{Section: c.Name, Reason: "section is longer than 32 KiB"})
	}
	s := &Section{Name: c.Name, file: f, keys: c.Keys, used: map[string]bool{}}
	f.Sections = append(f.Sections, s)
	f.byName[s.Name] = s
}

func newFile(name string) *File {
	return &File{Name: name, byName: map[string]*Section{}}
}

// Parse reads an INI text. name stands for the text in flaws. A text that is
// no INI at all gives a File without sections and one flaw.
func Parse(name string, b []byte) *File {
	f := newFile(name)
	if len(b) > MaxBytes {
		f.add(Flaw{Reason: "longer than 1 MiB"})
		return f
	}
	text, err := ini.LoadSources(options(), b)
	if err != nil {
		f.add(Flaw{Reason: oneLine(err)})
		return f
	}
	for _, s := range text.Sections() {
		f.addSection(s)
	}
	return f
}

// options turns off what would let a duplicate pass or change a value.
func options() ini.LoadOptions {
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

func (f *File) addSection(s *ini.Section) {
	if s.Name() == ini.DefaultSection {
		for _, k := range s.Keys() {
			f.add(Flaw{Key: k.Name(), Value: k.Value(), Reason: "stands outside of any section"})
		}
		return
	}
	c := Content{Name: s.Name()}
	for _, k := range s.Keys() {
		all := k.ValueWithShadows()
		if len(all) > 1 {
			f.add(Flaw{Section: c.Name, Key: k.Name(), Value: all[len(all)-1], Reason: "key appears twice"})
		}
		c.Keys = append(c.Keys, Pair{Key: k.Name(), Value: k.Value()})
	}
	f.addContent(c)
}

func (f *File) add(flaw Flaw) {
	flaw.File = f.Name
	f.Flaws = append(f.Flaws, flaw)
}

// Reject records a flaw of the whole file.
func (f *File) Reject(reason string) { f.add(Flaw{Reason: reason}) }

// Section returns the section called name, nil when it is missing.
func (f *File) Section(name string) *Section { return f.byName[name] }

// Reject records a flaw of one key of the section; key and value may be empty.
func (s *Section) Reject(key, value, reason string) {
	s.file.add(Flaw{Section: s.Name, Key: key, Value: value, Reason: reason})
}

// Take returns the value of key and marks the key as known.
func (s *Section) Take(key string) (string, bool) {
	s.used[key] = true
	for _, p := range s.keys {
		if p.Key == key {
			return p.Value, true
		}
	}
	return "", false
}

// Prefixed returns the rest of each key that starts with prefix, in the
// order of the text.
func (s *Section) Prefixed(prefix string) []string {
	var out []string
	for _, p := range s.keys {
		if rest, ok := strings.CutPrefix(p.Key, prefix); ok {
			out = append(out, rest)
		}
	}
	return out
}

// Close records a flaw for each key that nothing has taken.
func (s *Section) Close() {
	for _, p := range s.keys {
		if !s.used[p.Key] {
			s.Reject(p.Key, p.Value, "unknown key")
		}
	}
}

// Optional takes key and parses it, or returns def when it is missing.
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

// Required is Optional for a key that must be there.
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
