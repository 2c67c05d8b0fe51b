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

// File is a parsed text. Flaws grows while its sections are read.
type File struct {
	Name     string
	Sections []*Section
	Flaws    Flaws
}

// Section is one section of a file.
type Section struct {
	Name string

	file *File
	keys []pair
	used map[string]bool
}

type pair struct {
	key   string
	value string
}

// Parse reads an INI text. name stands for the text in flaws. A text that is
// no INI at all gives a File without sections and one flaw.
func Parse(name string, b []byte) *File {
	f := &File{Name: name}
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
	if f.has(s.Name()) {
		f.add(Flaw{Section: s.Name(), Reason: "section appears twice"})
		return
	}
	sec := &Section{Name: s.Name(), file: f, used: map[string]bool{}}
	for _, k := range s.Keys() {
		all := k.ValueWithShadows()
		if len(all) > 1 {
			sec.Reject(k.Name(), all[len(all)-1], "key appears twice")
		}
		sec.keys = append(sec.keys, pair{key: k.Name(), value: k.Value()})
	}
	f.Sections = append(f.Sections, sec)
}

func (f *File) has(section string) bool {
	for _, s := range f.Sections {
		if s.Name == section {
			return true
		}
	}
	return false
}

func (f *File) add(flaw Flaw) {
	flaw.File = f.Name
	f.Flaws = append(f.Flaws, flaw)
}

// Reject records a flaw of the whole file.
func (f *File) Reject(reason string) { f.add(Flaw{Reason: reason}) }

// Section returns the section called name, nil when it is missing.
func (f *File) Section(name string) *Section {
	for _, s := range f.Sections {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// Reject records a flaw of one key of the section; key and value may be empty.
func (s *Section) Reject(key, value, reason string) {
	s.file.add(Flaw{Section: s.Name, Key: key, Value: value, Reason: reason})
}

// Take returns the value of key and marks the key as known.
func (s *Section) Take(key string) (string, bool) {
	s.used[key] = true
	for _, p := range s.keys {
		if p.key == key {
			return p.value, true
		}
	}
	return "", false
}

// Prefixed returns the rest of each key that starts with prefix, in the
// order of the text.
func (s *Section) Prefixed(prefix string) []string {
	var out []string
	for _, p := range s.keys {
		if rest, ok := strings.CutPrefix(p.key, prefix); ok {
			out = append(out, rest)
		}
	}
	return out
}

// Close records a flaw for each key that nothing has taken.
func (s *Section) Close() {
	for _, p := range s.keys {
		if !s.used[p.key] {
			s.Reject(p.key, p.value, "unknown key")
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
