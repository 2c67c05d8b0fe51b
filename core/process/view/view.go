// Package view holds a process's copy of the environment document and the VM
// list at one moment. Packages watch and hosted in io/process provide it to the
// rest of the process.
package view

import (
	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
)

// View is one consistent, immutable snapshot. Document is nil until the first
// document has been received.
type View struct {
	Document *envdoc.Document
	VMs      []fleet.VM
}

// Source provides views. Current never blocks. Changed returns a channel that
// is closed when a view newer than the current one is available.
type Source interface {
	Current() View
	Changed() <-chan struct{}
}

// Revision returns the revision of the document, or 0 if there is none.
func (v View) Revision() uint64 {
	if v.Document == nil {
		return 0
	}
	return v.Document.Revision
}
