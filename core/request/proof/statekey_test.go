//go:build !race

package proof

import (
	"slices"

	"hawthornferry/core/conn/fresh"
	"hawthornferry/core/request/calls"
)

// keyBuilder builds the key of a state, by which the explorer recognizes equal
// states.
type keyBuilder struct {
	b []byte
}

func newKeyBuilder() *keyBuilder { return &keyBuilder{b: make([]byte, 0, 512)} }

func (k *keyBuilder) num(ns ...int) {
	for _, n := range ns {
		k.b = append(k.b, byte(n))
	}
}

func (k *keyBuilder) flag(bs ...bool) {
	for _, b := range bs {
		if b {
			k.b = append(k.b, 1)
		} else {
			k.b = append(k.b, 0)
		}
	}
}

func (k *keyBuilder) text(s string) {
	k.b = append(k.b, s...)
	k.b = append(k.b, ';')
}

func (k *keyBuilder) reading(r fresh.ClockReading) {
	k.text(r.Boot)
	k.num(int(r.At / tick))
}

func (k *keyBuilder) ticket(t calls.Ticket) {
	k.text(string(t.CallID))
	k.reading(t.Issued)
}

// unordered adds n items whose order does not matter.
func (k *keyBuilder) unordered(n int, item func(i int, k *keyBuilder)) {
	parts := make([]string, 0, n)
	for i := range n {
		one := keyBuilder{}
		item(i, &one)
		parts = append(parts, string(one.b))
	}
	slices.Sort(parts)
	for _, p := range parts {
		k.text(p)
	}
	k.text("")
}
