// Package opt reads options that are declared by the tags of struct fields. The
// settings of a process (io/process/conf) and the flags of a command
// (io/process/cmds) are declared in this way, so that the parser, the help and the
// tests of an option share one declaration.
//
// The tags of a field:
//
//	key      name of the option; fields without it are no options
//	help     one line of help
//	default  text of the value if it is not given
//	need     "true" if it must be given
//	unit     "rate" or "size" (the default) for an int64, "name" for a string that
//	         must be a name; other types have a fixed unit
//	min, max limits, in the text form of the value
//	oneof    the allowed strings, separated by commas
//	role     the only role of a process for which the option is read
//	arg      position among the arguments, from 1, if it is an argument and not a flag
package opt

import (
	"net/netip"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/inidoc"
)

// Field is an option declared by a struct field. Its fields are the tags that the
// package comment describes; Required is the tag need.
type Field struct {
	Key      string
	Help     string
	Default  string
	Unit     string
	Min      string
	Max      string
	OneOf    string
	Role     string
	Required bool
	// Position is the tag arg: the position among the arguments, or 0 for a flag.
	Position int

	value reflect.Value
}

// Fields returns the options of the struct that ptr points to. Setting one sets the
// field of that struct.
func Fields(ptr any) []Field {
	v := reflect.ValueOf(ptr).Elem()
	var out []Field
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag
		if tag.Get("key") == "" {
			continue
		}
		out = append(out, newField(tag, v.Field(i)))
	}
	return out
}

func newField(tag reflect.StructTag, v reflect.Value) Field {
	f := Field{
		Key:      tag.Get("key"),
		Help:     tag.Get("help"),
		Default:  tag.Get("default"),
		Unit:     tag.Get("unit"),
		Min:      tag.Get("min"),
		Max:      tag.Get("max"),
		OneOf:    tag.Get("oneof"),
		Role:     tag.Get("role"),
		Required: tag.Get("need") == "true",
		value:    v,
	}
	f.Position, _ = strconv.Atoi(tag.Get("arg"))
	if f.Unit == "" {
		f.Unit = unitOf(v)
	}
	return f
}

// Describe returns the help text followed by the unit or the allowed strings, the
// limits and the default.
func (f Field) Describe() string {
	var parts []string
	switch {
	case f.OneOf != "":
		parts = append(parts, "one of "+f.OneOf)
	case f.Unit != "" && !f.IsBool():
		parts = append(parts, f.Unit)
	}
	if f.Min != "" || f.Max != "" {
		parts = append(parts, f.Min+" to "+f.Max)
	}
	if f.Default != "" {
		parts = append(parts, "default "+f.Default)
	}
	if len(parts) == 0 {
		return f.Help
	}
	return f.Help + " (" + strings.Join(parts, "; ") + ")"
}

// IsBool reports whether the option is a bool, which is a flag without a value on
// the command line.
func (f Field) IsBool() bool { return f.value.Kind() == reflect.Bool }

// Bool returns a pointer to the value of a bool option. It panics for other types.
func (f Field) Bool() *bool { return f.value.Addr().Interface().(*bool) }

// Set parses text and assigns the value to the field. The error says which values
// are accepted.
func (f Field) Set(text string) error {
	switch p := f.value.Addr().Interface().(type) {
	case *int:
		return parseInto(p, text, f.intParser())
	case *int64:
		return f.setByteCount(p, text)
	case *time.Duration:
		return f.setDuration(p, text)
	case *netip.AddrPort:
		return parseInto(p, text, inidoc.AddrPort)
	case *[]netip.AddrPort:
		return parseInto(p, text, inidoc.AddrPorts)
	case *bool:
		return parseInto(p, text, parseBool)
	}
	if f.value.Kind() == reflect.String {
		return f.setString(text)
	}
	return errors.Newf("option %s: fields of type %s are not supported", f.Key, f.value.Type())
}

func (f Field) setString(text string) error {
	parse := func(s string) (string, error) { return s, nil }
	if f.OneOf != "" {
		parse = inidoc.OneOf(inidoc.SplitList(f.OneOf)...)
	}
	if f.Unit == unitName {
		parse = inidoc.Identifier
	}
	s, err := parse(text)
	if err != nil {
		return err
	}
	f.value.SetString(s)
	return nil
}

func (f Field) intParser() func(string) (int, error) {
	low, high := 0, maxInt
	if n, err := strconv.Atoi(f.Min); err == nil {
		low = n
	}
	if n, err := strconv.Atoi(f.Max); err == nil {
		high = n
	}
	return inidoc.IntBetween(low, high)
}

func (f Field) setByteCount(p *int64, text string) error {
	parse := inidoc.Size
	if f.Unit == unitRate {
		parse = inidoc.Rate
	}
	low, high := int64(0), int64(maxBytes)
	if n, err := parse(f.Min); err == nil {
		low = n
	}
	if n, err := parse(f.Max); err == nil {
		high = n
	}
	return parseInto(p, text, inidoc.Bounded(parse, low, high))
}

func (f Field) setDuration(p *time.Duration, text string) error {
	low, high := time.Duration(0), maxDuration
	if d, err := time.ParseDuration(f.Min); err == nil {
		low = d
	}
	if d, err := time.ParseDuration(f.Max); err == nil {
		high = d
	}
	return parseInto(p, text, inidoc.DurationBetween(low, high))
}

// Limits of the options that declare none. The lower limit is 0.
const (
	maxInt      = 1 << 30
	maxBytes    = 1 << 50
	maxDuration = 24 * time.Hour
)

// Units of the options, as shown in the help.
const (
	unitName     = "name"
	unitRate     = "rate"
	unitSize     = "size"
	unitDuration = "duration"
	unitNumber   = "number"
	unitAddr     = "ip:port"
	unitText     = "text"
)

func unitOf(v reflect.Value) string {
	switch v.Interface().(type) {
	case int:
		return unitNumber
	case int64:
		return unitSize
	case time.Duration:
		return unitDuration
	case netip.AddrPort, []netip.AddrPort:
		return unitAddr
	}
	return unitText
}

func parseBool(text string) (bool, error) {
	switch text {
	case "yes", "true":
		return true, nil
	case "no", "false":
		return false, nil
	}
	return false, errors.New("want yes or no")
}

func parseInto[T any](p *T, text string, parse func(string) (T, error)) error {
	v, err := parse(text)
	if err != nil {
		return err
	}
	*p = v
	return nil
}
