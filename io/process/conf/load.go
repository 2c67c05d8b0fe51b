package conf

import (
	"os"
	"strings"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/inidoc"
	"hawthornferry/core/process/operr"
	"hawthornferry/core/process/opt"
)

// Flag is one setting given on the command line.
type Flag struct {
	Section string
	Key     string
	Value   string
}

// section is the name of a section and the struct that holds its settings.
type section struct {
	name string
	ptr  any
}

func (s *Settings) sections() []section {
	return []section{
		{name: "process", ptr: &s.Process},
		{name: "listen", ptr: &s.Listen},
		{name: "platform", ptr: &s.Platform},
		{name: "peers", ptr: &s.Peers},
		{name: "target", ptr: &s.Target},
		{name: "links", ptr: &s.Links},
		{name: "limits", ptr: &s.Limits},
		{name: "log", ptr: &s.Log},
	}
}

// Load reads the settings of a process of the given role from the file at path. The flags
// override the file's values. An error of type inidoc.Problems lists everything that is wrong
// with the settings.
func Load(path string, role fleet.Role, flags []Flag) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, operr.Wrap("read settings", path, err)
	}
	return Parse(path, b, role, flags)
}

// Parse is like Load, but reads the text b. Errors give name as the file.
func Parse(name string, b []byte, role fleet.Role, flags []Flag) (Settings, error) {
	var s Settings
	r := reader{file: inidoc.Parse(name, b), role: role, flags: flags}
	for _, sec := range s.sections() {
		r.section(sec)
	}
	r.rejectUnknownSections(s.sections())
	if s.Process.Role != "" && s.Process.Role != role {
		r.reject("process", "role", string(s.Process.Role), "the command is "+string(role))
	}
	return s, r.file.Problems.Err()
}

type reader struct {
	file  *inidoc.File
	role  fleet.Role
	flags []Flag
}

func (r *reader) section(sec section) {
	in := r.file.Section(sec.name)
	for _, f := range opt.Fields(sec.ptr) {
		if f.Role == "" || f.Role == string(r.role) {
			r.field(sec.name, in, f)
		}
	}
	if in != nil {
		in.RejectUnknownKeys()
	}
}

func (r *reader) field(name string, in *inidoc.Section, f opt.Field) {
	text, given := "", false
	if in != nil {
		text, given = in.Take(f.Key)
	}
	where := r.file.Name
	if flag, ok := r.flag(name, f.Key); ok {
		text, given = flag, true
		where = "--" + name + "-" + f.Key
	}
	if !given && f.Required {
		r.reject(name, f.Key, "", "missing")
		return
	}
	if !given {
		text = f.Default
	}
	if !given && text == "" {
		return
	}
	if err := f.Set(text); err != nil {
		problem := inidoc.Problem{File: where, Section: name, Key: f.Key, Value: text, Reason: err.Error()}
		r.file.Problems = append(r.file.Problems, problem)
	}
}

func (r *reader) flag(name, key string) (string, bool) {
	for _, f := range r.flags {
		if f.Section == name && f.Key == key {
			return f.Value, true
		}
	}
	return "", false
}

func (r *reader) rejectUnknownSections(known []section) {
	for _, in := range r.file.Sections {
		if !hasSection(known, in.Name) {
			in.Reject("", "", "unknown section, want one of "+sectionNames(known))
		}
	}
}

func (r *reader) reject(name, key, value, reason string) {
	problem := inidoc.Problem{File: r.file.Name, Section: name, Key: key, Value: value, Reason: reason}
	r.file.Problems = append(r.file.Problems, problem)
}

func hasSection(known []section, name string) bool {
	for _, s := range known {
		if s.name == name {
			return true
		}
	}
	return false
}

func sectionNames(known []section) string {
	names := make([]string, 0, len(known))
	for _, s := range known {
		names = append(names, s.name)
	}
	return strings.Join(names, ", ")
}

// Option describes one setting, for help and documentation.
type Option struct {
	Section string
	opt.Field
}

// Options returns the settings that a process of the given role reads.
func Options(role fleet.Role) []Option {
	var s Settings
	var out []Option
	for _, sec := range s.sections() {
		for _, f := range opt.Fields(sec.ptr) {
			if f.Role == "" || f.Role == string(role) {
				out = append(out, Option{Section: sec.name, Field: f})
			}
		}
	}
	return out
}

// VM returns the description of the process's VM as it is reported to peers.
func (s *Settings) VM() fleet.VM {
	return fleet.VM{
		Name:    s.Process.Name,
		Role:    s.Process.Role,
		Zone:    s.Process.Zone,
		Region:  s.Process.Region,
		Service: s.Target.Service,
		Address: s.Listen.Peers,
		State:   fleet.StateLive,
	}
}
