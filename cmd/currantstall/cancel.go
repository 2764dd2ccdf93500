package main

// cancelCmd cancels the work of a key.
type cancelCmd struct {
	Key string `arg:"" help:"Key of the request or job."`
	remoteFlags
}

// Run implements the command. It prints work that had already ended with its
// answers; for cancelled work it returns an error whose verdict says whether any
// of it ran.
func (c *cancelCmd) Run() error {
	cl, ctx, cancel, err := c.connect()
	if err != nil {
		return err
	}
	defer cancel()
	job, err := cl.Cancel(ctx, c.Key)
	if err != nil {
		return err
	}
	return printJSON(job)
}
