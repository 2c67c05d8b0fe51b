package envdoc

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"hawthornferry/core/version/chunk"
)

func manifestOf(version string, contents ...string) chunk.Manifest {
	m := chunk.Manifest{Model: "permit-assistant", Version: version}
	for _, c := range contents {
		m.Chunks = append(m.Chunks, chunk.Ref{Digest: chunk.DigestOf([]byte(c)), Size: int64(len(c))})
		m.Size += int64(len(c))
	}
	return m
}

func TestCompare(t *testing.T) {
	text := readExample(t)
	oldDigest := chunk.Digest("sha256:" + strings.Repeat("0", 64))
	newDigest := chunk.Digest("sha256:" + strings.Repeat("1", 64))
	changed := strings.NewReplacer(
		string(oldDigest), string(newDigest),
		"version  = 2026-12-01", "version = 2026-12-02",
		"replicas.cable-beach = 2", "replicas.cable-beach = 3",
		"weigh = originBytes", "weigh = time",
	).Replace(text)
	old, err := Parse("old.ini", 1, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	next, err := Parse("next.ini", 2, []byte(changed))
	if err != nil {
		t.Fatal(err)
	}
	shared := strings.Repeat("s", 4000)
	fresh := strings.Repeat("f", 6250)
	got := Compare(old, next, map[chunk.Digest]chunk.Manifest{
		oldDigest: manifestOf("2026-12-01", shared, "gone"),
		newDigest: manifestOf("2026-12-02", shared, fresh, fresh),
	})
	want := Plan{
		Versions: []VersionChange{{
			Service: "helper", Model: "permit-assistant", From: "2026-12-01", To: "2026-12-02",
			Manifest: newDigest, Replicas: 7,
			Transfer: &TransferBytes{
				Total: 16500, New: 6250, Origin: 6250, OriginMax: 25000,
				Regions: []RegionLoad{
					{Region: "eastern-gold", Bytes: 6250, MinMS: 2},
					{Region: "north-west", Bytes: 6250, MinMS: 2},
				},
			},
		}},
		Replicas: []ReplicaChange{{Service: "helper", Zone: "cable-beach", From: 2, To: 3}},
		Waves: []Wave{
			{Number: 1, Service: "helper", Zone: "cable-beach", Loading: 2, Serving: 1},
			{Number: 1, Service: "helper", Zone: "freo-shed", Loading: 1, Serving: 1},
			{Number: 1, Service: "helper", Zone: "hannan-hall", Loading: 1, Serving: 1},
			{Number: 2, Service: "helper", Zone: "cable-beach", Loading: 1, Serving: 2},
			{Number: 2, Service: "helper", Zone: "freo-shed", Loading: 1, Serving: 1},
			{Number: 2, Service: "helper", Zone: "hannan-hall", Loading: 1, Serving: 1},
		},
		Sections: []SectionChange{
			{Section: "environment", Change: ChangeModified},
			{Section: "model.permit-assistant", Change: ChangeModified},
			{Section: "service.helper", Change: ChangeModified},
		},
	}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreFields(SectionChange{}, "From", "To")); diff != "" {
		t.Errorf("plan (-want +got):\n%s", diff)
	}
}

func TestCompareSameIsEmpty(t *testing.T) {
	d, err := Parse("doc.ini", 1, []byte(readExample(t)))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Plan{}, Compare(d, d, nil), cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("plan (-want +got):\n%s", diff)
	}
	first := Compare(nil, d, nil)
	if diff := cmp.Diff("", first.Versions[0].From); diff != "" {
		t.Errorf("version before the first document (-want +got):\n%s", diff)
	}
}
