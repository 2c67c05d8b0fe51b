package cmds

import (
	"net"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/inidoc"
	"hawthornferry/core/process/opt"
	"hawthornferry/io/process/conf"
)

// process is the options of a command that runs a process: its settings file
// and a flag --section-key for each setting. Embed a pointer to it, made by
// newProcess, in the command's struct.
type process struct {
	File string `key:"settings" arg:"1" need:"true" help:"INI file with the settings of the process"`

	role  fleet.Role
	flags []*settingFlag
}

// settingFlag is one setting as a flag; its text is parsed with the file.
type settingFlag struct {
	section string
	key     string
	field   struct {
		Text string `key:"text"`
	}
}

func newProcess(role fleet.Role) *process { return &process{role: role} }

// options lists the settings file and the flags of the settings.
func (p *process) options() []opt.Field {
	fields := opt.Fields(p)
	for _, o := range conf.Options(p.role) {
		f := &settingFlag{section: o.Section, key: o.Key}
		p.flags = append(p.flags, f)
		field := opt.Fields(&f.field)[0]
		field.Key = o.Section + "-" + o.Key
		field.Help = o.Describe()
		field.Unit = ""
		fields = append(fields, field)
	}
	return fields
}

// load reads the settings file and lays the flags over it.
func (p *process) load() (conf.Settings, error) {
	var given []conf.Flag
	for _, f := range p.flags {
		if f.field.Text != "" {
			given = append(given, conf.Flag{Section: f.section, Key: f.key, Value: f.field.Text})
		}
	}
	s, err := conf.Load(p.File, p.role, given)
	var flaws inidoc.Problems
	if err != nil && !errors.As(err, &flaws) {
		return s, errors.Mark(err, errInput)
	}
	return s, err
}

// listen opens the listener of a setting of section [listen]. A port in use
// is an error of the input, found before anything is started.
func (p *process) listen(key string, addr netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		reason := err.Error()
		if i := strings.LastIndex(reason, ": "); i >= 0 {
			reason = reason[i+2:]
		}
		return nil, inidoc.Problem{File: p.File, Section: "listen", Key: key, Value: addr.String(), Reason: reason}
	}
	return l, nil
}
