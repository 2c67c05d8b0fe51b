package watch

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

// A service that answers slowly is given more time after each read that was
// given up, so that it is not left unread for as long as it is slow; once it
// answers fast again a silent connection is given up soon again.
func TestSlackFollowsTheService(t *testing.T) {
	s := newService(netip.AddrPort{})
	tests := []struct {
		beyond time.Duration
		err    error
		want   time.Duration
	}{
		{beyond: 5 * time.Millisecond, want: minSlack},
		{beyond: time.Second, err: errors.Wrap(context.DeadlineExceeded, "get"), want: 2 * time.Second},
		{beyond: 2 * time.Second, err: context.DeadlineExceeded, want: 4 * time.Second},
		{beyond: 3 * time.Second, want: 6 * time.Second},
		{beyond: time.Millisecond, err: errors.New("status 503"), want: 6 * time.Second},
		{beyond: time.Minute, want: maxSlack},
		{beyond: -time.Second, want: minSlack},
	}
	for _, tc := range tests {
		s.adapt(tc.beyond, tc.err)
		if diff := cmp.Diff(tc.want, s.slack); diff != "" {
			t.Errorf("after %v, %v (-want +got):\n%s", tc.beyond, tc.err, diff)
		}
	}
}
