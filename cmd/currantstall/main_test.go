package main

import (
	"fmt"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"gotest.tools/v3/assert"

	"currantstall/internal/verdict"
)

func TestEveryFlagHasEnvVarAndHelp(t *testing.T) {
	var c cli
	parser, err := kong.New(&c, kong.DefaultEnvars("CURRANTSTALL"))
	assert.NilError(t, err)
	assert.NilError(t, kong.Visit(parser.Model, func(n kong.Visitable, next kong.Next) error {
		if f, ok := n.(*kong.Flag); ok && f.Name != "help" {
			assert.Assert(t, len(f.Envs) > 0 && strings.HasPrefix(f.Envs[0], "CURRANTSTALL_"), "--%s has no variable", f.Name)
			assert.Assert(t, f.Help != "", "--%s has no help", f.Name)
		}
		return next(nil)
	}))
}

func TestExitStatuses(t *testing.T) {
	for _, tc := range []struct {
		args string
		want int
	}{
		{"version", 0},
		{"nonsense", exitUsage},
		{"request unlock", exitUsage},
		{"standin runner --slots=x", exitUsage},
		{"key --entry=nowhere", exitError},
		{"key --entry=http://127.0.0.1:1", exitNotRun},
		{"request unlock --team=a --entry=http://127.0.0.1:1", exitNotRun},
		{"request unlock --team=a --key=k --entry=http://127.0.0.1:1", exitMayHaveRun},
		{"submit reconcile [] --team=a --entry=http://127.0.0.1:1", exitError},
		{"manifest check /nonexistent", exitError},
	} {
		assert.Equal(t, run(strings.Fields(tc.args)), tc.want, tc.args)
	}
	for v, want := range map[verdict.Verdict]int{
		verdict.NotRun: exitNotRun, verdict.MayHaveRun: exitMayHaveRun, verdict.Failed: exitFailed,
	} {
		assert.Equal(t, exitStatus(fmt.Errorf("x: %w", verdict.New(v, verdict.Internal, "y"))), want)
	}
}
