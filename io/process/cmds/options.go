package cmds

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"hawthornferry/core/process/inidoc"
	"hawthornferry/core/process/opt"
)

const exitHelp = "Exit codes: 0 done, 1 failed, 2 bad input (settings, document, flags, a port in use)."

// optioner is a runner with options other than the fields of its own struct.
type optioner interface {
	options() []opt.Field
}

// boundOption is an option and its text from the command line.
type boundOption struct {
	opt.Field
	text string
}

// name returns the option's name as written on the command line.
func (b *boundOption) name() string {
	if b.Position > 0 {
		return b.Key
	}
	return "--" + b.Key
}

// parseArgs returns the command named in args with its options set. For --help,
// --version and unknown flags, flaggy prints a message and exits the process.
func parseArgs(args []string) (runner, error) {
	if err := checkCommandName(args); err != nil {
		return nil, err
	}
	p := flaggy.NewParser("hawthornferry")
	p.Version = Version
	p.Description = "distributes model weights in bursts and carries callers' requests to the targets that serve them"
	p.AdditionalHelpAppend = exitHelp
	p.ShowCompletion = false
	runners := make([]runner, len(registry))
	options := make([][]*boundOption, len(registry))
	subs := make([]*flaggy.Subcommand, len(registry))
	for i, c := range registry {
		runners[i] = c.make()
		subs[i] = flaggy.NewSubcommand(c.name)
		subs[i].Description = c.help
		subs[i].AdditionalHelpAppend = exitHelp
		options[i] = declareOptions(subs[i], runners[i])
		p.AttachSubcommand(subs[i], 1)
	}
	if err := p.ParseArgs(args); err != nil {
		return nil, errors.Mark(err, errInput)
	}
	for i, s := range subs {
		if s.Used {
			return runners[i], parseOptions(options[i])
		}
	}
	return nil, errors.Mark(errors.Newf("no command given, want one of %s; see --help", commandNames()), errInput)
}

// checkCommandName returns an error if the first argument is neither a flag nor the
// name of a command.
func checkCommandName(args []string) error {
	if len(args) == 0 || strings.HasPrefix(args[0], "-") {
		return nil
	}
	known := func(c command) bool { return c.name == args[0] }
	if slices.ContainsFunc(registry, known) {
		return nil
	}
	return errors.Mark(errors.Newf("unknown command %q, want one of %s; see --help", args[0], commandNames()), errInput)
}

// declareOptions adds the options of r to its subcommand. It returns those that
// parseOptions must parse from text; flaggy sets booleans itself.
func declareOptions(s *flaggy.Subcommand, r runner) []*boundOption {
	fields := opt.Fields(r)
	if o, ok := r.(optioner); ok {
		fields = append(fields, o.options()...)
	}
	var out []*boundOption
	for _, f := range fields {
		b := &boundOption{Field: f}
		switch {
		case f.Position > 0:
			s.AddPositionalValue(&b.text, f.Key, f.Position, f.Required, f.Describe())
		case f.IsBool():
			s.Bool(f.Bool(), "", f.Key, f.Describe())
			continue
		default:
			s.String(&b.text, "", f.Key, f.Describe())
		}
		out = append(out, b)
	}
	return out
}

// parseOptions sets the options from their texts, or from their defaults where there
// is no text. It returns all errors together.
func parseOptions(options []*boundOption) error {
	var flaws inidoc.Problems
	for _, b := range options {
		text := b.text
		if text == "" {
			text = b.Default
		}
		if text == "" {
			continue
		}
		if err := b.Set(text); err != nil {
			flaws = append(flaws, inidoc.Problem{File: "command line", Key: b.name(), Value: text, Reason: err.Error()})
		}
	}
	return flaws.Err()
}
