package watch

import (
	"hawthornferry/core/process/gossip"
	"hawthornferry/io/conn/frame"
)

// The messages of a configuration connection.
type (
	marksMsg struct{ gossip.Marks }
	pullMsg  struct{ gossip.Pull }
	deltaMsg struct{ gossip.Delta }
)

func (*marksMsg) Kind() frame.Kind { return "configMarks" }
func (*pullMsg) Kind() frame.Kind  { return "configPull" }
func (*deltaMsg) Kind() frame.Kind { return "configDelta" }

// kinds returns the messages of a configuration connection.
func kinds() frame.Kinds {
	k := frame.Kinds{}
	k.Register(func() frame.Message { return &marksMsg{} })
	k.Register(func() frame.Message { return &pullMsg{} })
	k.Register(func() frame.Message { return &deltaMsg{} })
	return k
}
