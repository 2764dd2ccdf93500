package main

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// versionCmd prints the build's version.
type versionCmd struct{}

// Run implements the command.
func (versionCmd) Run() error {
	version := "(devel)"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	_, err := fmt.Printf("currantstall %s %s %s/%s\n", version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
	return err
}
