// Package view is what a process believes of the world at one moment: the
// document in force and the machines it knows.
package view

import (
	"hawthornferry/core/process/envdoc"
	"hawthornferry/core/process/fleet"
)

// View is one consistent belief. It is never changed once it is handed out;
// Document is nil until the first document has arrived.
type View struct {
	Document *envdoc.Document
	VMs      []fleet.VM
}

// Source hands out views. Current never blocks. Changed returns a channel
// that is closed when a view newer than the current one is there.
type Source interface {
	Current() View
	Changed() <-chan struct{}
}

// Revision is the revision of the document in force, 0 for none.
func (v View) Revision() uint64 {
	if v.Document == nil {
		return 0
	}
	return v.Document.Revision
}
