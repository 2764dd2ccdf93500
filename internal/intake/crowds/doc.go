// Package crowds holds the tests of the processes against callers that nobody
// controls. It has no code of its own: each test starts processes of the built
// program on loopback addresses, with lowered limits, and one at a time.
package crowds
