package integration

// The tests run the built binary, which go test does not know as one of their
// inputs. These imports keep it from reusing a cached result after the packages
// of the binary have changed.
import (
	_ "currantstall/internal/client"
	_ "currantstall/internal/entry"
	_ "currantstall/internal/load"
	_ "currantstall/internal/settings"
)
