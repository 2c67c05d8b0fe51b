package main

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"hawthornferry/standin/demo"
)

const mib = 1 << 20

// publishCommand adds a version of each model to the weight store, writes the
// document with that version and registers the VMs.
func publishCommand() command {
	var dir string
	number, size, chunkSize := 1, int64(64*mib), int64(mib/2)
	f := flaggy.NewSubcommand("publish")
	f.Description = "add a version of each model to the weight store, write its document, register the VMs"
	f.String(&dir, "", "fleet", "directory of the plan")
	f.Int(&number, "", "number", "number of the version")
	f.Int64(&size, "", "size", "bytes of the version")
	f.Int64(&chunkSize, "", "chunk", "bytes of a chunk")
	return command{flags: f, run: func(ctx context.Context) error {
		p, err := demo.LoadFleet(dir)
		if err != nil {
			return usageError{err}
		}
		v, err := p.Publish(ctx, dir, number, size, chunkSize)
		if err != nil {
			return err
		}
		for model, digest := range v.Manifests {
			fmt.Printf("%s version %d: %d bytes in %d chunks, %s\n", model, v.Number, v.Size, v.Chunks, digest)
		}
		return nil
	}}
}
