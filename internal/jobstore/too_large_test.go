package jobstore_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/jobstore"
	"currantstall/internal/platform"
)

// A job that fits no row would make the store reject the transaction that it shares with others.
func TestJobThatFitsNoRowIsNotSentToTheStore(t *testing.T) {
	_, tables := startStore(t)
	a := jobstore.NewAccepter(tables, discard())
	large := job(1)
	large.Steps[0].RequiredLabel = strings.Repeat("r", platform.MaxRowBytes)
	results := make(chan error, 20)
	for i := range cap(results) / 2 {
		go func() {
			_, err := a.Accept(large)
			results <- err
		}()
		go func() {
			_, err := a.Accept(job(2 + i))
			results <- err
		}()
	}
	rejected := 0
	for range cap(results) {
		if err := <-results; err != nil {
			assert.ErrorIs(t, err, jobstore.ErrTooLarge)
			rejected++
		}
	}
	assert.Equal(t, rejected, cap(results)/2)
}
