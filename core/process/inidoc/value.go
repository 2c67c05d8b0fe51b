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

// unit is the suffix of a number and the factor that it stands for.
type unit struct {
	name   string
	factor int64
}

const bitsPerByte = 8

// Decimal and binary multiples of a byte. "B" comes last, as it is a suffix of the
// others.
var sizeUnits = []unit{
	{name: "KiB", factor: 1 << 10},
	{name: "MiB", factor: 1 << 20},
	{name: "GiB", factor: 1 << 30},
	{name: "TiB", factor: 1 << 40},
	{name: "kB", factor: 1e3},
	{name: "MB", factor: 1e6},
	{name: "GB", factor: 1e9},
	{name: "TB", factor: 1e12},
	{name: "B", factor: 1},
}

// Units of rates in bits per second. Rates in bytes per second use sizeUnits. "bit"
// comes last, as it is a suffix of the others.
var bitUnits = []unit{
	{name: "kbit", factor: 1e3},
	{name: "Mbit", factor: 1e6},
	{name: "Gbit", factor: 1e9},
	{name: "bit", factor: 1},
}

// Identifier parses a name: 1 to MaxIdentifierLength letters, digits, dashes, dots
// and underscores.
func Identifier(text string) (string, error) {
	if text == "" || len(text) > MaxIdentifierLength {
		return "", errors.Newf("want 1 to %d characters", MaxIdentifierLength)
	}
	for _, r := range text {
		if !isIdentifierRune(r) {
			return "", errors.New("want letters, digits, '-', '_' and '.' only")
		}
	}
	return text, nil
}

// MaxIdentifierLength is the maximum number of characters in a name.
const MaxIdentifierLength = 64

func isIdentifierRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	}
	return r == '-' || r == '_' || r == '.'
}

// IntBetween returns a parser of whole numbers from low to high.
func IntBetween(low, high int) func(string) (int, error) {
	return func(text string) (int, error) {
		n, err := strconv.Atoi(text)
		if err != nil || n < low || n > high {
			return 0, errors.Newf("want a whole number from %d to %d", low, high)
		}
		return n, nil
	}
}

// DurationBetween returns a parser of durations from low to high, such as 250ms or 30s.
func DurationBetween(low, high time.Duration) func(string) (time.Duration, error) {
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

// Size parses a size with a unit, such as 64KiB or 10MB, and returns bytes.
func Size(text string) (int64, error) {
	n, ok := parseScaled(text, sizeUnits)
	if !ok {
		return 0, errors.New("want a size with a unit, such as 64KiB, 10MiB or 5MB")
	}
	return n, nil
}

// Rate parses a rate per second in bytes or bits with a unit, such as 10MiB or
// 25Mbit, and returns bytes per second.
func Rate(text string) (int64, error) {
	if n, ok := parseScaled(text, bitUnits); ok {
		return n / bitsPerByte, nil
	}
	if n, ok := parseScaled(text, sizeUnits); ok {
		return n, nil
	}
	return 0, errors.New("want a rate a second with a unit, such as 25Mbit or 10MiB")
}

// Bounded returns a parser that accepts what parse accepts if the result is from
// low to high.
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

// OneOf returns a parser that accepts only the given strings.
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

// AddrPorts parses a comma-separated list of IP addresses with ports. An empty text
// is an empty list.
func AddrPorts(text string) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for _, part := range SplitList(text) {
		a, err := AddrPort(part)
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

// SplitList splits a comma-separated list and trims its items. Empty items are dropped.
func SplitList(text string) []string {
	var out []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

func parseScaled(text string, units []unit) (int64, bool) {
	for _, u := range units {
		digits, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		if err != nil || n < 0 || math.IsNaN(n) || n*float64(u.factor) >= math.MaxInt64 {
			return 0, false
		}
		return int64(n * float64(u.factor)), true
	}
	return 0, false
}
