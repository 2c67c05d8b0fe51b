package inidoc

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestRateAndSize(t *testing.T) {
	tests := []struct {
		parse func(string) (int64, error)
		text  string
		want  int64
		fails bool
	}{
		{parse: Rate, text: "25Mbit", want: 3125000},
		{parse: Rate, text: "8 kbit", want: 1000},
		{parse: Rate, text: "10MiB", want: 10 << 20},
		{parse: Rate, text: "1.5MB", want: 1500000},
		{parse: Rate, text: "25", fails: true},
		{parse: Rate, text: "Mbit", fails: true},
		{parse: Rate, text: "-1Mbit", fails: true},
		{parse: Rate, text: "NaNMbit", fails: true},
		{parse: Rate, text: "1e30Gbit", fails: true},
		{parse: Size, text: "64KiB", want: 64 << 10},
		{parse: Size, text: "0B", want: 0},
		{parse: Size, text: "1Mbit", fails: true},
		{parse: Size, text: "", fails: true},
	}
	for _, tc := range tests {
		got, err := tc.parse(tc.text)
		if (err != nil) != tc.fails {
			t.Errorf("%q: error %v, want one: %t", tc.text, err, tc.fails)
		}
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%q (-want +got):\n%s", tc.text, diff)
		}
	}
}
