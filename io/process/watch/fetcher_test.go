package watch

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

// A service that answers slowly must get more time after each timeout, or it
// could not be read for as long as it is slow. Once it answers fast again, the
// timeout must shrink, so that a failed connection is detected soon.
func TestSlackFollowsTheService(t *testing.T) {
	s := newFetcher(netip.AddrPort{})
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
		s.adjustSlack(tc.beyond, tc.err)
		if diff := cmp.Diff(tc.want, s.slack); diff != "" {
			t.Errorf("after %v, %v (-want +got):\n%s", tc.beyond, tc.err, diff)
		}
	}
}
