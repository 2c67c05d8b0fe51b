package inidoc

import (
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// unit is a suffix of a number and what one of it is worth.
type unit struct {
	name  string
	worth int64
}

const bitsPerByte = 8

// Decimal and binary multiples of a byte. The longer suffix goes first.
var sizeUnits = []unit{
	{name: "KiB", worth: 1 << 10},
	{name: "MiB", worth: 1 << 20},
	{name: "GiB", worth: 1 << 30},
	{name: "TiB", worth: 1 << 40},
	{name: "kB", worth: 1e3},
	{name: "MB", worth: 1e6},
	{name: "GB", worth: 1e9},
	{name: "TB", worth: 1e12},
	{name: "B", worth: 1},
}

// Rates a second in bits, beside those of sizeUnits in bytes.
var bitUnits = []unit{
	{name: "kbit", worth: 1e3},
	{name: "Mbit", worth: 1e6},
	{name: "Gbit", worth: 1e9},
	{name: "bit", worth: 1},
}

// Word accepts a name: letters, digits, dash, dot and underscore, at most
// MaxWord of them.
func Word(text string) (string, error) {
	if text == "" || len(text) > MaxWord {
		return "", errors.Newf("want 1 to %d characters", MaxWord)
	}
	for _, r := range text {
		if !isWordRune(r) {
			return "", errors.New("want letters, digits, '-', '_' and '.' only")
		}
	}
	return text, nil
}

// MaxWord is the most characters of a name.
const MaxWord = 64

func isWordRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '-' || r == '_' || r == '.'
}

// Whole returns a parser of whole numbers from low to high.
func Whole(low, high int) func(string) (int, error) {
	return func(text string) (int, error) {
		n, err := strconv.Atoi(text)
		if err != nil || n < low || n > high {
			return 0, errors.Newf("want a whole number from %d to %d", low, high)
		}
		return n, nil
	}
}

// Span returns a parser of durations from low to high, such as 250ms or 30s.
func Span(low, high time.Duration) func(string) (time.Duration, error) {
	return func(text string) (time.Duration, error) {
		d, err := time.ParseDuration(text)
		if err != nil {
			return 0, errors.New("want a duration with a unit, such as 250ms, 30s or 5m")
		}
		if d < low || d > high {
			return 0, errors.Newf("want a duration from %v to %v", low, high)
		}
		return d, nil
	}
}

// Size parses a number of bytes with a unit, such as 64KiB or 10MB.
func Size(text string) (int64, error) {
	n, ok := scaled(text, sizeUnits)
	if !ok {
		return 0, errors.New("want a size with a unit, such as 64KiB, 10MiB or 5MB")
	}
	return n, nil
}

// Rate parses a number of bytes or bits a second with a unit, such as 10MiB
// or 25Mbit, and returns bytes a second.
func Rate(text string) (int64, error) {
	if n, ok := scaled(text, bitUnits); ok {
		return n / bitsPerByte, nil
	}
	if n, ok := scaled(text, sizeUnits); ok {
		return n, nil
	}
	return 0, errors.New("want a rate a second with a unit, such as 25Mbit or 10MiB")
}

// Bounded narrows a parser of sizes or rates to the range from low to high.
func Bounded(parse func(string) (int64, error), low, high int64) func(string) (int64, error) {
	return func(text string) (int64, error) {
		n, err := parse(text)
		if err != nil {
			return 0, err
		}
		if n < low || n > high {
			return 0, errors.Newf("is %d bytes, want %d to %d", n, low, high)
		}
		return n, nil
	}
}

// OneOf returns a parser that accepts the given strings only.
func OneOf[T ~string](allowed ...T) func(string) (T, error) {
	return func(text string) (T, error) {
		if slices.Contains(allowed, T(text)) {
			return T(text), nil
		}
		names := make([]string, 0, len(allowed))
		for _, a := range allowed {
			names = append(names, string(a))
		}
		return "", errors.Newf("want one of %s", strings.Join(names, ", "))
	}
}

// AddrPort parses an IP address and a port, such as 127.0.0.1:7000.
func AddrPort(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, errors.New("want an IP address and a port, such as 127.0.0.1:7000")
	}
	return a, nil
}

// AddrPorts parses AddrPort items parted by commas; an empty text has none.
func AddrPorts(text string) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for _, part := range List(text) {
		a, err := AddrPort(part)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

// List splits a text at its commas and trims the parts; empty parts go.
func List(text string) []string {
	var out []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

func scaled(text string, units []unit) (int64, bool) {
	for _, u := range units {
		digits, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		if err != nil || n < 0 || math.IsNaN(n) || n*float64(u.worth) >= math.MaxInt64 {
			return 0, false
		}
		return int64(n * float64(u.worth)), true
	}
	return 0, false
}
