package gossip

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/inidoc"
)

// EncodeDocument returns the state of a document. Each section is one item, and
// the version is the revision that the configuration service assigned.
func EncodeDocument(revision uint64, contents []inidoc.RawSection) (State, error) {
	items := make([]Item, 0, len(contents))
	for _, c := range contents {
		b, err := json.Marshal(c.Pairs)
		if err != nil {
			return State{}, errors.Wrapf(err, "encode section %s", c.Name)
		}
		items = append(items, NewItem(c.Name, b))
	}
	return NewState(revision, items)
}

// DecodeDocument decodes and validates the document of a state.
func DecodeDocument(name string, s State) (*envdoc.Document, error) {
	contents := make([]inidoc.RawSection, 0, len(s.Items))
	for _, it := range s.Items {
		c := inidoc.RawSection{Name: it.Name}
		if err := json.Unmarshal(it.Body, &c.Pairs); err != nil {
			return nil, errors.Wrapf(err, "decode section %s", it.Name)
		}
		contents = append(contents, c)
	}
	return envdoc.FromSections(name, s.Mark.Version, contents)
}
