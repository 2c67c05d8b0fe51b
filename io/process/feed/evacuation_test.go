package feed

import "testing"

// Guards against an evacuation that does not begin or end with its item, or that a process
// forgets when it lists the store again.
func TestEvacuationLastsAsLongAsItsItem(t *testing.T) {
	s := newFakeStore()
	s.set("config", "1", false)
	s.set("target/a", "", false)
	s.set("target/b", "", false)
	f := newFeed(s)
	runFeed(t, f)
	evacuated := func() string {
		out := ""
		for _, target := range f.Current().Targets {
			if target.Evacuated {
				out += target.ID
			}
		}
		return out
	}
	eventually(t, "both are known", func() bool { return targetIDs(f) == "a b" })
	s.set("evacuate/zone-b", "", false)
	eventually(t, "the zone of b is evacuated", func() bool { return evacuated() == "b" })
	s.dropHistory()
	s.set("target/c", "", false)
	eventually(t, "the store is listed again", func() bool { return targetIDs(f) == "a b c" })
	if got := evacuated(); got != "b" {
		t.Errorf("evacuated after the list: %q, want b", got)
	}
	s.set("evacuate/zone-b", "", true)
	eventually(t, "the zone is back", func() bool { return evacuated() == "" })
}
