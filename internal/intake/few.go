package intake

import (
	"net/http"
	"time"
)

const (
	// fewAtOnce is how many responses of a handler of Few may be under way.
	fewAtOnce = 16
	// fewWait is how long a request waits for its turn, and fewWrite how long its caller
	// has to take the response.
	fewWait  = time.Second
	fewWrite = 2 * time.Second
)

// Few serves few requests of h at once, for responses that are large against their
// requests. Others wait for a moment and are then refused with 503. A caller that does not
// take its response loses it.
func Few(h http.Handler) http.Handler { return few(h, fewWrite) }

// FewLong is Few for responses that may take long to send. A caller loses one only if it takes
// nothing of it for as long as Limits allow.
func FewLong(h http.Handler) http.Handler { return few(h, 0) }

func few(h http.Handler, write time.Duration) http.Handler {
	turns := make(chan struct{}, fewAtOnce)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case turns <- struct{}{}:
		default:
			if !waitTurn(r, turns) {
				w.Header().Set("Retry-After", "1")
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		defer func() { <-turns }()
		if write == 0 {
			h.ServeHTTP(w, r)
			return
		}
		rc := http.NewResponseController(w)
		_ = rc.SetWriteDeadline(time.Now().Add(write)) // not supported by recorders of tests
		h.ServeHTTP(w, r)
		if err := rc.Flush(); err == nil {
			_ = rc.SetWriteDeadline(time.Time{})
		}
	})
}

func waitTurn(r *http.Request, turns chan<- struct{}) bool {
	t := time.NewTimer(fewWait)
	defer t.Stop()
	select {
	case turns <- struct{}{}:
		return true
	case <-t.C:
	case <-r.Context().Done():
	}
	return false
}
