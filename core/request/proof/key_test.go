//go:build !race

package proof

import (
	"slices"

	"hawthornferry/core/conn/lease"
	"hawthornferry/core/request/calls"
)

// keyer builds the name of a state.
type keyer struct {
	b []byte
}

func newKeyer() *keyer { return &keyer{b: make([]byte, 0, 512)} }

func (k *keyer) num(ns ...int) {
	for _, n := range ns {
		k.b = append(k.b, byte(n))
	}
}

func (k *keyer) flag(bs ...bool) {
	for _, b := range bs {
		if b {
			k.b = append(k.b, 1)
		} else {
			k.b = append(k.b, 0)
		}
	}
}

func (k *keyer) text(s string) {
	k.b = append(k.b, s...)
	k.b = append(k.b, ';')
}

func (k *keyer) reading(r lease.Reading) {
	k.text(r.Boot)
	k.num(int(r.At / tick))
}

func (k *keyer) ticket(t calls.Ticket) {
	k.text(string(t.Call))
	k.reading(t.Issued)
}

// set adds n items whose order does not matter.
func (k *keyer) set(n int, item func(i int, k *keyer)) {
	parts := make([]string, 0, n)
	for i := range n {
		one := keyer{}
		item(i, &one)
		parts = append(parts, string(one.b))
	}
	slices.Sort(parts)
	for _, p := range parts {
		k.text(p)
	}
	k.text("")
}
