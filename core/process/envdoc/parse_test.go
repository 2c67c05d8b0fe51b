package envdoc

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"hawthornferry/core/process/inidoc"
)

func readExample(t testing.TB) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "pindan.ini"))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestParseExample(t *testing.T) {
	d, err := Parse("pindan.ini", 7, []byte(readExample(t)))
	if err != nil {
		t.Fatal(err)
	}
	got, _ := d.ServiceByName("booking")
	want := Service{
		Name:       "booking",
		Kind:       KindPlain,
		Fencing:    FencingIgnored,
		Replicas:   []Placement{{"cable-beach", 1}, {"freo-shed", 1}, {"hannan-hall", 1}},
		Timeout:    5 * time.Second,
		Repeatable: []string{"POST /search"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("booking (-want +got):\n%s", diff)
	}
	region, _ := d.RegionByName("north-west")
	if diff := cmp.Diff(int64(25e6/8), region.LinkRate); diff != "" {
		t.Errorf("link of north-west (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(Origin{Region: "swan-coast", MaxCopies: 4}, d.Origin); diff != "" {
		t.Errorf("origin (-want +got):\n%s", diff)
	}
}

// change is a part of the example document and the text that replaces it in a test.
type change struct{ from, to string }

func TestErrorsNameSectionKeyValueAndReason(t *testing.T) {
	manifest := "manifest = sha256:" + strings.Repeat("0", 64)
	tests := []struct {
		change
		want []string
	}{
		{change{"[model.", "[modle."}, []string{`[modle.permit-assistant]: unknown section`, `[service.helper] model = "permit-assistant": unknown model: there is no section [model.permit-assistant]`}},
		{change{"floor   = 1", "flor = 1"}, []string{`[service.helper] flor = "1": unknown key`}},
		{change{"link = 25Mbit", "link = 25"}, []string{`[region.swan-coast] link = "25": want a rate a second with a unit, such as 25Mbit or 10MiB`}},
		{change{"timeout = 30s", "timeout = 30"}, []string{`[service.helper] timeout = "30": want a duration with a unit, such as 250ms, 30s or 5m`}},
		{change{"timeout = 30s", "timeout = 30h"}, []string{`[service.helper] timeout = "30h": want a duration from 10ms to 10m0s`}},
		{change{"[zone.hannan-hall]", "[zone.freo-shed]"}, []string{
			`[zone.freo-shed]: section appears twice`,
			`[service.booking] replicas.hannan-hall = "1": unknown zone: there is no section [zone.hannan-hall]`,
			`[service.helper] replicas.hannan-hall = "2": unknown zone: there is no section [zone.hannan-hall]`,
		}},
		{change{"version  = 2026-12-01", "version = a\nversion = b"}, []string{`[model.permit-assistant] version = "b": key appears twice`}},
		{change{manifest, ""}, []string{`[model.permit-assistant] manifest: missing: version 2026-12-01 is not pinned by a digest`}},
		{change{manifest, "manifest = latest"}, []string{`[model.permit-assistant] manifest = "latest": want sha256: and 64 hexadecimal digits`}},
		{change{"replicas.freo-shed = 1", ""}, []string{`[service.members-roll]: has no target: want replicas.ZONE = 1 or more for a zone`}},
		{change{"replicas.freo-shed   = 2", "replicas.freo-shed = 2001"}, []string{`[service.helper] replicas.freo-shed = "2001": want a whole number from 0 to 2000`}},
		{change{"replicas.freo-shed   = 2", "replicas.freo-shed = 1"}, []string{`[service.helper] floor = "1": leaves none of the 1 replicas in zone freo-shed free to load a version`}},
		{change{"region = north-west", "region = north"}, []string{`[zone.cable-beach] region = "north": unknown region: there is no section [region.north]`}},
		{change{"region = swan-coast\ncopies", "region = swan\ncopies"}, []string{`[origin] region = "swan": unknown region: there is no section [region.swan]`}},
		{change{"copies = 4", "copies = 0"}, []string{`[origin] copies = "0": want a whole number from 1 to 64`}},
		{change{"stage = production", "stage = prod"}, []string{`[environment] stage = "prod": want one of trial, production`}},
		{change{"POST /search", "post search"}, []string{`[service.booking] repeatable = "post search": "post search" is not of the form METHOD /path`}},
		{change{"share = 4", "share = 0"}, []string{`[customer.fremantle-buskers] share = "0": want a whole number from 1 to 1000`}},
		{change{"[environment]", "stray = 1\n[environment]"}, []string{`stray = "1": stands outside of any section`}},
		{change{"[environment]", "[environment"}, []string{`unclosed section: [environment`, `section [environment] is missing`}},
	}
	for _, tc := range tests {
		text := readExample(t)
		if !strings.Contains(text, tc.from) {
			t.Fatalf("the example has no %q", tc.from)
		}
		_, err := Parse("doc.ini", 1, []byte(strings.Replace(text, tc.from, tc.to, 1)))
		var got []string
		var flaws inidoc.Problems
		if errors.As(err, &flaws) {
			for _, f := range flaws {
				got = append(got, strings.TrimLeft(strings.TrimPrefix(f.Error(), "doc.ini:"), " "))
			}
		}
		sorted := cmpopts.SortSlices(func(a, b string) bool { return a < b })
		if diff := cmp.Diff(tc.want, got, sorted); diff != "" {
			t.Errorf("%q for %q (-want +got):\n%s", tc.to, tc.from, diff)
		}
	}
}

// Parsing must return a document or an error for any text and never panic, and a
// document assembled from separate sections must equal the one parsed as a whole.
func FuzzParse(f *testing.F) {
	f.Add(readExample(f))
	f.Add("[environment]\nname = a\nstage = trial\n[zone.z]\nregion = r\n[region.r]\nlink = 1Mbit\n[service.s]\nkind = plain\nreplicas.z = 1\n")
	f.Add("[environment]\nname = \"a;b\"\n-\n- = 1\n[DEFAULT]\nx = `y`\n")
	f.Add("[service.]\nreplicas. = %(x)s\n\"\"\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		d, err := Parse("fuzz.ini", 1, []byte(text))
		if err != nil {
			return
		}
		contents := inidoc.Parse("fuzz.ini", []byte(text)).RawSections()
		again, err := FromSections("fuzz.ini", 1, contents)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(d, again); diff != "" {
			t.Errorf("assembled document (-whole +assembled):\n%s", diff)
		}
	})
}
