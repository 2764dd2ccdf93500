package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"currantstall/internal/client"
	"currantstall/internal/manifest"
	"currantstall/internal/verdict"
)

// manifestCmd groups the commands that work on the manifest, the configuration
// by the operators.
type manifestCmd struct {
	Check manifestCheckCmd `cmd:"" help:"Check a manifest without an entry."`
	Apply manifestApplyCmd `cmd:"" help:"Apply a manifest: once accepted it is in force everywhere within seconds."`
	Show  manifestShowCmd  `cmd:"" help:"Print the manifest in force."`
	Diff  manifestDiffCmd  `cmd:"" help:"Print what a manifest would change."`
}

// manifestFile is the argument that names a manifest file.
type manifestFile struct {
	Path string `arg:"" help:"Manifest, YAML or JSON; - reads the standard input."`
}

// read returns the text of the file and the manifest in it, or an error if the
// manifest is invalid.
func (f *manifestFile) read() ([]byte, *manifest.Manifest, error) {
	text, err := readInput(f.Path)
	if err != nil {
		return nil, nil, err
	}
	m, err := manifest.Decode(text)
	return text, m, err
}

// manifestCheckCmd validates a manifest file without an entry.
type manifestCheckCmd struct{ manifestFile }

// Run implements the command.
func (c *manifestCheckCmd) Run() error {
	_, m, err := c.read()
	if err != nil {
		return err
	}
	fmt.Printf("%s is valid: %d kinds, %d teams\n", c.Path, len(m.Kinds), len(m.Teams))
	return nil
}

// manifestApplyCmd applies a manifest file.
type manifestApplyCmd struct {
	manifestFile
	Base *uint64 `placeholder:"VERSION" help:"Version to replace, 0 for the first. With another one in force the command fails. Default: the version in force."`
	remoteFlags
}

// Run implements the command.
func (c *manifestApplyCmd) Run() error {
	text, _, err := c.read()
	if err != nil {
		return err
	}
	cl, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	base := c.Base
	if base == nil {
		m, err := currentManifest(ctx, cl)
		if err != nil {
			return err
		}
		base = &m.Version
	}
	version, err := cl.Apply(ctx, *base, text)
	if err != nil {
		return err
	}
	fmt.Printf("version %d is accepted\n", version)
	return nil
}

// currentManifest returns the manifest in force, or an empty one if none has
// been applied yet.
func currentManifest(ctx context.Context, cl *client.Client) (*manifest.Manifest, error) {
	m, err := cl.Manifest(ctx)
	var e *verdict.Error
	if errors.As(err, &e) && e.Reason == verdict.NotReady {
		return &manifest.Manifest{}, nil
	}
	return m, err
}

// manifestShowCmd prints the manifest in force.
type manifestShowCmd struct {
	JSON bool `name:"json" help:"Print JSON, with the version."`
	remoteFlags
}

// Run implements the command.
func (c *manifestShowCmd) Run() error {
	cl, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	m, err := cl.Manifest(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(m)
	}
	text, err := m.EncodeYAML()
	if err != nil {
		return err
	}
	fmt.Printf("# version %d\n", m.Version)
	_, err = os.Stdout.Write(text)
	return err
}

// manifestDiffCmd prints the changes from the manifest in force to a manifest
// file.
type manifestDiffCmd struct {
	manifestFile
	remoteFlags
}

// Run implements the command.
func (c *manifestDiffCmd) Run() error {
	_, next, err := c.read()
	if err != nil {
		return err
	}
	cl, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	m, err := currentManifest(ctx, cl)
	if err != nil {
		return err
	}
	changes := manifest.Diff(m.Canonical(), next)
	for _, change := range changes {
		fmt.Println(change)
	}
	if len(changes) == 0 {
		fmt.Println("no difference")
	}
	return nil
}
