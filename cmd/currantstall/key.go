package main

import "fmt"

// keyCmd mints keys.
type keyCmd struct {
	Count int `default:"1" help:"Number of keys, 1 to 10000."`
	remoteFlags
}

// Run implements the command.
func (c *keyCmd) Run() error {
	cl, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	keys, err := cl.Keys(ctx, c.Count)
	if err != nil {
		return err
	}
	for _, k := range keys {
		fmt.Println(k)
	}
	return nil
}
