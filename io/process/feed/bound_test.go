package feed

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hawthornferry/io/conn/bound"
	"hawthornferry/io/conn/link"
)

// Guards against a peer whose reply never ends: all its parts would be kept until the end.
func TestReplyWithoutEndIsCutOff(t *testing.T) {
	packed, err := packItems([]Item{{Key: "target/a", Value: bytes.Repeat([]byte("a"), 1<<20)}})
	if err != nil {
		t.Fatal(err)
	}
	closed := make(chan struct{})
	peer, _ := startPeer(t, newSelf("endless"), func(_ context.Context, c *link.Conn) {
		defer close(closed)
		for c.Send(&factsReply{Known: true, AtRevision: 1, Packed: packed}) == nil {
		}
	})
	f := newFeed(newFakeStore())
	name, _ := bound.Of(f.queryPeer(t.Context(), peer))
	if diff := cmp.Diff(bound.Reply, name); diff != "" {
		t.Errorf("cut off at (-want +got):\n%s", diff)
	}
	<-closed
}

// endlessStore has another page after each page of a list.
type endlessStore struct {
	*fakeStore
	pages int
}

func (s *endlessStore) List(context.Context, string) (Page, error) {
	s.pages++
	return Page{Items: []Item{{Key: fmt.Sprint("target/", s.pages), Value: make([]byte, 1<<20)}}, More: true, AtRevision: 1}, nil
}

// Guards against a list of the store that never ends: all its pages would be kept until the end.
func TestListWithoutEndIsCutOff(t *testing.T) {
	f := newFeed(&endlessStore{fakeStore: newFakeStore()})
	f.init()
	name, _ := bound.Of(f.list(t.Context()))
	if diff := cmp.Diff(bound.List, name); diff != "" {
		t.Errorf("cut off at (-want +got):\n%s", diff)
	}
}
