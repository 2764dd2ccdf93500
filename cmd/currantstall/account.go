package main

import (
	"encoding/json"
	"fmt"
	"os"
)

// accountCmd groups the commands that read the account of work that ran and
// that claim keys in it.
type accountCmd struct {
	Read  accountReadCmd  `cmd:"" default:"withargs" help:"Print the account, one JSON line a key, oldest first."`
	Claim accountClaimCmd `cmd:"" help:"Claim keys for the old system: a granted key is not run by this one."`
}

// accountReadCmd prints lines of the account as JSON.
type accountReadCmd struct {
	After string `placeholder:"POSITION" help:"Start after this position. Default: from the oldest key."`
	Limit int    `default:"1000" help:"Maximum number of keys to print."`
	remoteFlags
}

// Run implements the command.
func (c *accountReadCmd) Run() error {
	cl, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	a, err := cl.Account(ctx, c.After, c.Limit)
	if err != nil {
		return err
	}
	if a.Missing > 0 {
		fmt.Fprintf(os.Stderr, "currantstall: %d outcomes are missing from the account: they were dropped during an outage\n", a.Missing)
	}
	enc := json.NewEncoder(os.Stdout)
	for _, l := range a.Lines {
		if err := enc.Encode(l); err != nil {
			return err
		}
	}
	return nil
}

// accountClaimCmd claims keys for the old system.
type accountClaimCmd struct {
	Keys []string `arg:"" help:"Keys to claim."`
	remoteFlags
}

// Run implements the command.
func (c *accountClaimCmd) Run() error {
	cl, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	a, err := cl.Claim(ctx, c.Keys)
	if err != nil {
		return err
	}
	return printJSON(a)
}
