package demo

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"hawthornferry/core/version/chunk"
	"hawthornferry/standin/weight"
)

// Version is one version of every model of the environment document. Document is
// the path of the document with this version, Manifests has the manifest digest
// of each model, and Chunks is the number of chunks of one model's version.
type Version struct {
	Number    int                     `json:"number"`
	Size      int64                   `json:"size"`
	Document  string                  `json:"document"`
	Manifests map[string]chunk.Digest `json:"manifests"`
	Chunks    int                     `json:"chunks"`
}

// Publish adds version number of every model, with size bytes, to the weight
// store, writes the document with that version and registers the VMs.
func (f *Fleet) Publish(ctx context.Context, dir string, number int, size, chunkSize int64) (*Version, error) {
	v := &Version{
		Number:    number,
		Size:      size,
		Document:  filepath.Join(dir, fmt.Sprintf("version-%d.ini", number)),
		Manifests: map[string]chunk.Digest{},
	}
	for _, n := range f.Engines() {
		if _, ok := v.Manifests[n.Model]; ok {
			continue
		}
		made, err := f.addVersion(ctx, n.Model, v, chunkSize)
		if err != nil {
			return nil, err
		}
		v.Manifests[n.Model] = made.Manifest
		v.Chunks = made.Chunks
	}
	if err := f.writeDocument(v); err != nil {
		return nil, err
	}
	if err := f.register(ctx); err != nil {
		return nil, err
	}
	return v, writeJSON(versionPath(dir, number), v)
}

func versionPath(dir string, number int) string {
	return filepath.Join(dir, fmt.Sprintf("version-%d.json", number))
}

// LoadVersion reads a version that Publish wrote.
func LoadVersion(dir string, number int) (*Version, error) {
	var v Version
	err := readJSON(versionPath(dir, number), &v)
	return &v, err
}

func (f *Fleet) addVersion(ctx context.Context, model string, v *Version, chunkSize int64) (weight.AddedVersion, error) {
	spec := weight.Spec{
		Model:     model,
		Version:   versionName(v.Number),
		Size:      v.Size,
		ChunkSize: chunkSize,
		Seed:      uint64(v.Number),
	}
	var made weight.AddedVersion
	err := sendJSON(ctx, http.MethodPut, f.Store, "/control/versions", spec, &made)
	return made, errors.Wrapf(err, "make version of %s", model)
}

func versionName(number int) string { return fmt.Sprintf("demo-%d", number) }

// register adds every VM to the platform's VM list.
func (f *Fleet) register(ctx context.Context) error {
	for _, n := range f.Nodes() {
		listed := n.VM
		listed.Address = n.Listed
		err := sendJSON(ctx, http.MethodPut, f.VMList, "/control/vms/"+n.VM.Name, listed, nil)
		if err != nil {
			return errors.Wrapf(err, "register %s", n.VM.Name)
		}
	}
	return nil
}

// writeDocument writes a copy of the fleet's document in which each model has the
// version's name and manifest digest.
func (f *Fleet) writeDocument(v *Version) error {
	text, err := os.ReadFile(f.Document)
	if err != nil {
		return errors.Wrap(err, "read document")
	}
	var out []string
	model := ""
	for line := range strings.Lines(string(text)) {
		model = modelAt(line, model)
		out = append(out, v.replaceValue(line, model))
	}
	return errors.Wrap(os.WriteFile(v.Document, []byte(strings.Join(out, "")), fileMode), "write document")
}

// modelAt returns the model in whose section the line is, empty if it is in
// another section. current is the result for the line before.
func modelAt(line, current string) string {
	section, ok := strings.CutPrefix(strings.TrimSpace(line), "[")
	if !ok {
		return current
	}
	model, ok := strings.CutPrefix(section, "model.")
	if !ok {
		return ""
	}
	return strings.TrimSuffix(model, "]")
}

// replaceValue returns the line with the version's value if it sets the version
// or the manifest of one of its models, and unchanged otherwise.
func (v *Version) replaceValue(line, model string) string {
	digest, ok := v.Manifests[model]
	key, _, hasValue := strings.Cut(line, "=")
	if !ok || !hasValue {
		return line
	}
	switch strings.TrimSpace(key) {
	case "version":
		return fmt.Sprintf("version = %s\n", versionName(v.Number))
	case "manifest":
		return fmt.Sprintf("manifest = %s\n", digest)
	default:
		return line
	}
}
