package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/inidoc"
	"hawthornferry/core/process/operr"
	"hawthornferry/core/version/chunk"
)

func init() {
	register(command{
		name: "plan",
		help: "shows what promoting document NEXT over document OLD would change",
		make: func() runner { return &planCommand{} },
	})
}

// storeTimeout limits the time to read one manifest from the weight store.
const storeTimeout = 10 * time.Second

// maxManifestBytes is the maximum size of a manifest that is read. A longer one is
// cut off and then fails to decode.
const maxManifestBytes = 16 << 20

// planCommand prints the differences between two documents.
type planCommand struct {
	Old       string         `key:"old" arg:"1" need:"true" help:"document in force"`
	Next      string         `key:"next" arg:"2" need:"true" help:"document to promote"`
	Manifests string         `key:"manifests" help:"manifest files, parted by commas, to count bytes from"`
	Store     netip.AddrPort `key:"store" help:"weight store to read the manifests from instead"`
	JSON      bool           `key:"json" help:"print JSON"`
}

func (p *planCommand) run(ctx context.Context, out output) error {
	old, oldErr := readDocument(p.Old)
	next, nextErr := readDocument(p.Next)
	if err := joinFlaws(oldErr, nextErr); err != nil {
		return err
	}
	manifests, err := p.manifests(ctx, old, next)
	if err != nil {
		return err
	}
	result := envdoc.Compare(old, next, manifests)
	if p.JSON {
		return printJSON(out.stdout, result)
	}
	return printPlan(out.stdout, result)
}

// joinFlaws returns the problems of two documents as one error, so that one run reports
// all of them. Any other error is returned alone.
func joinFlaws(a, b error) error {
	var all, flaws inidoc.Problems
	for _, err := range []error{a, b} {
		if err != nil && !errors.As(err, &flaws) {
			return err
		}
		if err != nil {
			all = append(all, flaws...)
		}
	}
	return all.Err()
}

// manifests returns the manifests from the files given, and those of the documents'
// models from the weight store if one is given.
func (p *planCommand) manifests(ctx context.Context, docs ...*envdoc.Document) (map[chunk.Digest]chunk.Manifest, error) {
	out := map[chunk.Digest]chunk.Manifest{}
	for _, path := range inidoc.SplitList(p.Manifests) {
		b, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Mark(operr.Wrap("read manifest", path, err), errInput)
		}
		if err := addManifest(out, chunk.DigestOf(b), b, path); err != nil {
			return nil, err
		}
	}
	if !p.Store.IsValid() {
		return out, nil
	}
	for _, d := range docs {
		for _, m := range d.Models {
			if _, ok := out[m.Manifest]; ok {
				continue
			}
			b, err := fetchManifest(ctx, p.Store, m.Manifest)
			if err != nil {
				return nil, err
			}
			if err := addManifest(out, m.Manifest, b, p.Store.String()); err != nil {
				return nil, err
			}
		}
	}
	return out, nil
}

func addManifest(to map[chunk.Digest]chunk.Manifest, d chunk.Digest, b []byte, from string) error {
	m, err := chunk.Decode(b, d)
	if err != nil {
		return errors.Mark(operr.Wrap("decode manifest", from, err), errInput)
	}
	to[d] = m
	return nil
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return operr.Wrap("print JSON", "", enc.Encode(v))
}

func printPlan(w io.Writer, p envdoc.Plan) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(p.Sections) == 0 {
		fmt.Fprintln(t, "nothing changes")
	}
	printVersions(t, p.Versions)
	if len(p.Replicas) > 0 {
		fmt.Fprintln(t, "\nREPLICAS\tSERVICE\tZONE\tFROM\tTO")
	}
	for _, r := range p.Replicas {
		fmt.Fprintf(t, "\t%s\t%s\t%d\t%d\n", r.Service, r.Zone, r.From, r.To)
	}
	if len(p.Waves) > 0 {
		fmt.Fprintln(t, "\nWAVES\tNUMBER\tSERVICE\tZONE\tLOADING\tSERVING")
	}
	for _, v := range p.Waves {
		fmt.Fprintf(t, "\t%d\t%s\t%s\t%d\t%d\n", v.Number, v.Service, v.Zone, v.Loading, v.Serving)
	}
	if len(p.Sections) > 0 {
		fmt.Fprintln(t, "\nSECTIONS\tCHANGE\tSECTION\tVALUES")
	}
	for _, s := range p.Sections {
		fmt.Fprintf(t, "\t%s\t%s\t%s\n", s.Change, s.Section, formatValues(s))
	}
	return operr.Wrap("print plan", "", t.Flush())
}

func formatValues(s envdoc.SectionChange) string {
	if s.Change == envdoc.ChangeModified {
		return s.From + " -> " + s.To
	}
	return s.From + s.To
}

func printVersions(w io.Writer, versions []envdoc.VersionChange) {
	if len(versions) == 0 {
		return
	}
	fmt.Fprintln(w, "VERSIONS\tSERVICE\tMODEL\tFROM\tTO\tREPLICAS\tBYTES\tNEW\tORIGIN")
	for _, v := range versions {
		from := v.From
		if from == "" {
			from = "none"
		}
		fmt.Fprintf(w, "\t%s\t%s\t%s\t%s\t%d\t%s\n", v.Service, v.Model, from, v.To, v.Replicas, bytesColumns(v.Transfer))
	}
	for _, v := range versions {
		if v.Transfer == nil {
			continue
		}
		for _, r := range v.Transfer.Regions {
			least := time.Duration(r.MinMS) * time.Millisecond
			fmt.Fprintf(w, "\t%s\tover the link of %s at least %d bytes, %v\n", v.Service, r.Region, r.Bytes, least)
		}
	}
}

func bytesColumns(b *envdoc.TransferBytes) string {
	if b == nil {
		return "unknown\tunknown\tunknown"
	}
	if b.Origin == b.OriginMax {
		return fmt.Sprintf("%d\t%d\t%d", b.Total, b.New, b.Origin)
	}
	return fmt.Sprintf("%d\t%d\t%d to %d", b.Total, b.New, b.Origin, b.OriginMax)
}
