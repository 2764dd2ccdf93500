package integration

// The tests run the built binary, of which go test does not know that it is an
// input of theirs. With these imports a cached result is not taken for that of a
// binary whose packages have changed since.
import (
	_ "currantstall/internal/client"
	_ "currantstall/internal/entry"
	_ "currantstall/internal/load"
	_ "currantstall/internal/settings"
)
