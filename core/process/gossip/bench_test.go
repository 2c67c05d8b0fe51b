package gossip

import (
	"fmt"
	"runtime"
	"testing"

	"hawthornferry/core/process/fleet"
	"hawthornferry/core/process/inidoc"
)

// The largest size designed for: the VMs of entries and sides over all zones,
// and a document of as many sections as fit the configuration service's limit
// of a megabyte.
const (
	benchVMs      = 10860
	benchZones    = 39
	benchSections = 5000
)

func benchList() []fleet.VM {
	var vms []fleet.VM
	for i := range benchVMs {
		vms = append(vms, fleet.VM{
			Name: fmt.Sprintf("side-%05d", i), Role: fleet.RoleSide, Zone: fmt.Sprintf("zone-%02d", i%benchZones),
			Region: "region", Service: "service", Address: testAddr, State: fleet.StateLive,
		})
	}
	return vms
}

func benchDocument(b *testing.B, revision uint64) State {
	b.Helper()
	contents := []inidoc.RawSection{
		{Name: "environment", Pairs: []inidoc.KeyValue{{Key: "name", Value: "e"}, {Key: "stage", Value: "trial"}}},
		{Name: "region.r", Pairs: []inidoc.KeyValue{{Key: "link", Value: "25Mbit"}}},
		{Name: "zone.z", Pairs: []inidoc.KeyValue{{Key: "region", Value: "r"}}},
		{Name: "service.s", Pairs: []inidoc.KeyValue{
			{Key: "kind", Value: "plain"}, {Key: "replicas.z", Value: fmt.Sprint(1 + revision%9)},
		}},
	}
	for i := range benchSections {
		contents = append(contents, inidoc.RawSection{
			Name: fmt.Sprintf("customer.customer-%05d", i), Pairs: []inidoc.KeyValue{{Key: "share", Value: "1"}},
		})
	}
	s, err := EncodeDocument(revision, contents)
	if err != nil {
		b.Fatal(err)
	}
	return s
}

func BenchmarkObserveUnchangedList(b *testing.B) {
	var o Observer
	held, _, err := o.Observe(State{}, benchList())
	if err != nil {
		b.Fatal(err)
	}
	vms := benchList()
	for b.Loop() {
		if _, changed, err := o.Observe(held, vms); changed || err != nil {
			b.Fatal(changed, err)
		}
	}
}

func BenchmarkTakeListDelta(b *testing.B) {
	var o Observer
	vms := benchList()
	held, _, err := o.Observe(State{}, vms)
	if err != nil {
		b.Fatal(err)
	}
	vms[benchVMs/2].State = fleet.StateLeaving
	next, _, err := o.Observe(held, vms)
	if err != nil {
		b.Fatal(err)
	}
	d := diff(TopicVMs, held, next)
	var decoder VMDecoder
	for b.Loop() {
		s, err := apply(held, d)
		if err != nil {
			b.Fatal(err)
		}
		got, err := decoder.Decode(s)
		if err != nil {
			b.Fatal(err)
		}
		RankPeers("side-00000", "zone-00", got)
	}
}

func BenchmarkTakeDocumentDelta(b *testing.B) {
	held, next := benchDocument(b, 1), benchDocument(b, 2)
	d := diff(TopicDocument, held, next)
	for b.Loop() {
		s, err := apply(held, d)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := DecodeDocument("bench", s); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkHeldMemory reports the memory that a process uses after more changes
// of the list and the document than its history keeps.
func BenchmarkHeldMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		before := heap()
		var o Observer
		var decoder VMDecoder
		n := &Node{Zone: "zone-00", Accept: func(Topic, State) error { return nil }}
		n.Start(epoch)
		vms := benchList()
		for i := range historyLength + 2 {
			vms[i].State = fleet.StateLeaving
			next, _, err := o.Observe(n.Held(TopicVMs), vms)
			if err != nil {
				b.Fatal(err)
			}
			n.Read(TopicVMs, next, epoch)
			n.Read(TopicDocument, benchDocument(b, uint64(i+1)), epoch)
		}
		held, err := decoder.Decode(n.Held(TopicVMs))
		if err != nil {
			b.Fatal(err)
		}
		vms = nil
		b.ReportMetric((heap()-before)/(1<<20), "MiB")
		runtime.KeepAlive(n)
		runtime.KeepAlive(held)
		runtime.KeepAlive(&o)
		runtime.KeepAlive(&decoder)
	}
}
