// Package opt reads options that are declared as tags of struct fields. The
// settings of a process and the flags of a command are both declared so, and
// each has one declaration that its parser, its help and its tests share.
//
// The tags of a field:
//
//	key      name of the option
//	help     one line of help
//	default  text of the value when it is not given
//	need     "true" when it must be given
//	unit     "rate" or "size" for an int64; other types have their own
//	min, max bounds, in the text form of the value
//	oneof    the allowed strings, parted by commas
//	role     the only role for which the option is read
//	arg      place among the arguments, from 1, for one that is no flag
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

// Field is one declared option of a struct.
type Field struct {
	Key     string
	Help    string
	Default string
	Unit    string
	Min     string
	Max     string
	OneOf   string
	Role    string
	Need    bool
	// Arg is the place among the arguments, 0 for a flag.
	Arg int

	value reflect.Value
}

// Fields lists the options of the struct that ptr points to.
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
		Key:     tag.Get("key"),
		Help:    tag.Get("help"),
		Default: tag.Get("default"),
		Unit:    tag.Get("unit"),
		Min:     tag.Get("min"),
		Max:     tag.Get("max"),
		OneOf:   tag.Get("oneof"),
		Role:    tag.Get("role"),
		Need:    tag.Get("need") == "true",
		value:   v,
	}
	f.Arg, _ = strconv.Atoi(tag.Get("arg"))
	if f.Unit == "" {
		f.Unit = unitOf(v)
	}
	return f
}

// Describe returns the help line with unit, default and bounds.
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

// IsBool reports whether the option is a switch without a value.
func (f Field) IsBool() bool { return f.value.Kind() == reflect.Bool }

// Bool returns where the value of a switch is kept.
func (f Field) Bool() *bool { return f.value.Addr().Interface().(*bool) }

// Set parses text into the field; the error says what was wanted.
func (f Field) Set(text string) error {
	switch p := f.value.Addr().Interface().(type) {
	case *int:
		return assign(p, text, f.whole())
	case *int64:
		return f.setBytes(p, text)
	case *time.Duration:
		return f.setSpan(p, text)
	case *netip.AddrPort:
		return assign(p, text, inidoc.AddrPort)
	case *[]netip.AddrPort:
		return assign(p, text, inidoc.AddrPorts)
	case *bool:
		return assign(p, text, parseBool)
	}
	if f.value.Kind() == reflect.String {
		return f.setString(text)
	}
	return errors.Newf("option %s: fields of type %s are not supported", f.Key, f.value.Type())
}

func (f Field) setString(text string) error {
	parse := func(s string) (string, error) { return s, nil }
	if f.OneOf != "" {
		parse = inidoc.OneOf(inidoc.List(f.OneOf)...)
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

func (f Field) whole() func(string) (int, error) {
	low, high := 0, maxWhole
	if n, err := strconv.Atoi(f.Min); err == nil {
		low = n
	}
	if n, err := strconv.Atoi(f.Max); err == nil {
		high = n
	}
	return inidoc.IntBetween(low, high)
}

func (f Field) setBytes(p *int64, text string) error {
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
	return assign(p, text, inidoc.Bounded(parse, low, high))
}

func (f Field) setSpan(p *time.Duration, text string) error {
	low, high := time.Duration(0), maxSpan
	if d, err := time.ParseDuration(f.Min); err == nil {
		low = d
	}
	if d, err := time.ParseDuration(f.Max); err == nil {
		high = d
	}
	return assign(p, text, inidoc.DurationBetween(low, high))
}

// Bounds of the options that declare none.
const (
	maxWhole = 1 << 30
	maxBytes = 1 << 50
	maxSpan  = 24 * time.Hour
)

// Units of the options, as they are shown in help.
const (
	unitName  = "name"
	unitRate  = "rate"
	unitSize  = "size"
	unitSpan  = "duration"
	unitWhole = "number"
	unitAddr  = "ip:port"
	unitText  = "text"
)

func unitOf(v reflect.Value) string {
	switch v.Interface().(type) {
	case int:
		return unitWhole
	case int64:
		return unitSize
	case time.Duration:
		return unitSpan
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

func assign[T any](p *T, text string, parse func(string) (T, error)) error {
	v, err := parse(text)
	if err != nil {
		return err
	}
	*p = v
	return nil
}
