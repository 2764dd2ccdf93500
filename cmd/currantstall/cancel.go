package main

// cancelCmd cancels the work of a key.
type cancelCmd struct {
	Key string `arg:"" help:"Key of the request or job."`
	remoteFlags
}

// Run implements the command. Work that was over before is printed with its
// answers; the error of cancelled work says what has run.
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
