package bound

import (
	"encoding/binary"
	"fmt"
)

// Limits of the structure of a msgpack text. The decoder allocates a list at the length that the
// text announces, and skips what it does not know by recursion.
const (
	// MaxElements bounds the elements of all lists and maps of one message. A side tells of
	// three lists with a number for each of up to 65,536 chunks.
	MaxElements = 1 << 18
	// maxDepth bounds how deep lists and maps are nested.
	maxDepth = 16
)

// shape walks through a msgpack text.
type shape struct {
	rest     []byte
	elements int
	// open holds how many values each list or map still lacks that is open.
	open []int
}

// CheckShape checks that the given number of values in msgpack, with which b begins, has the
// elements that it announces, and not more than MaxElements.
func CheckShape(b []byte, values int) error {
	s := shape{rest: b, open: []int{values}}
	for len(s.open) > 0 {
		last := len(s.open) - 1
		if s.open[last] == 0 {
			s.open = s.open[:last]
			continue
		}
		s.open[last]--
		if err := s.value(); err != nil {
			return err
		}
	}
	return nil
}

func shapeError(reason string) error { return &CutOffError{Bound: Elements, Reason: reason} }

// value passes one value, or the beginning of a list or map.
func (s *shape) value() error {
	code, err := s.number(1)
	if err != nil {
		return err
	}
	switch c := byte(code); {
	case c <= 0x7f, c >= 0xe0, c == 0xc0, c == 0xc2, c == 0xc3:
		return nil
	case c <= 0x8f:
		return s.begin(2 * int(c&0x0f))
	case c <= 0x9f:
		return s.begin(int(c & 0x0f))
	case c <= 0xbf:
		return s.skip(uint64(c & 0x1f))
	default:
		return s.long(c)
	}
}

// long passes the rest of a value with one of the codes from 0xc1 to 0xdf.
func (s *shape) long(c byte) error {
	switch c {
	case 0xc4, 0xc5, 0xc6:
		return s.skipLong(1<<(c-0xc4), 0)
	case 0xc7, 0xc8, 0xc9:
		return s.skipLong(1<<(c-0xc7), 1)
	case 0xca, 0xcb:
		return s.skip(4 << (c - 0xca))
	case 0xcc, 0xcd, 0xce, 0xcf:
		return s.skip(1 << (c - 0xcc))
	case 0xd0, 0xd1, 0xd2, 0xd3:
		return s.skip(1 << (c - 0xd0))
	case 0xd4, 0xd5, 0xd6, 0xd7, 0xd8:
		return s.skip(1 + 1<<(c-0xd4))
	case 0xd9, 0xda, 0xdb:
		return s.skipLong(1<<(c-0xd9), 0)
	case 0xdc, 0xdd:
		n, err := s.number(2 << (c - 0xdc))
		if err != nil {
			return err
		}
		return s.begin(int(n))
	case 0xde, 0xdf:
		n, err := s.number(2 << (c - 0xde))
		if err != nil {
			return err
		}
		return s.begin(2 * int(n))
	default:
		return shapeError(fmt.Sprintf("unknown code %#x", c))
	}
}

// begin begins a list of n values, or a map of n keys and values.
func (s *shape) begin(n int) error {
	if s.elements += n; s.elements > MaxElements || n > len(s.rest) {
		return shapeError(fmt.Sprintf("list of %d elements in the last %d bytes, %d in all", n, len(s.rest), s.elements))
	}
	if len(s.open) > maxDepth {
		return shapeError(fmt.Sprintf("nested more than %d deep", maxDepth))
	}
	s.open = append(s.open, n)
	return nil
}

// skipLong skips a text whose length has the given size, and more bytes after it.
func (s *shape) skipLong(size int, more uint64) error {
	n, err := s.number(size)
	if err != nil {
		return err
	}
	return s.skip(n + more)
}

func (s *shape) skip(n uint64) error {
	if n > uint64(len(s.rest)) {
		return shapeError("text ends early")
	}
	s.rest = s.rest[n:]
	return nil
}

// number reads a number of the given size in bytes, up to 4.
func (s *shape) number(size int) (uint64, error) {
	if size > len(s.rest) {
		return 0, shapeError("text ends early")
	}
	var b [8]byte
	copy(b[len(b)-size:], s.rest[:size])
	s.rest = s.rest[size:]
	return binary.BigEndian.Uint64(b[:]), nil
}
