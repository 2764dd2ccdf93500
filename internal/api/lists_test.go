package api

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"currantstall/internal/intake"
	"currantstall/internal/key"
	"currantstall/internal/metrics"
	"currantstall/internal/structs"
)

// listEngine mints keys, and grants claims of the old system. Its other methods are not called.
type listEngine struct {
	Engine
	Account
}

func (listEngine) Mint() (key.Key, error)                            { return key.New("coast") }
func (listEngine) ClaimExternal(context.Context, key.Key) error      { return nil }
func (listEngine) Do(context.Context, *structs.Work) structs.Outcome { panic("not called") }

func call(t *testing.T, method, path, body string) (int, string) {
	t.Helper()
	m := metrics.NewNop()
	s := New(Config{Engine: listEngine{}, Account: listEngine{}, Metrics: m, Log: slog.Default(), Intake: intake.NewGate(intake.NewLimits(intake.Machine{Memory: 128 << 20}, 0), m)})
	r := httptest.NewRecorder()
	s.ServeHTTP(r, httptest.NewRequest(method, path, strings.NewReader(body)))
	return r.Code, r.Body.String()
}

func TestKeysAreListed(t *testing.T) {
	for _, count := range []int{1, 3, maxKeysPerCall} {
		status, text := call(t, http.MethodPost, fmt.Sprintf("/v1/keys?count=%d", count), "")
		assert.Equal(t, status, http.StatusOK)
		var got KeysResponse
		assert.NilError(t, json.Unmarshal([]byte(text), &got))
		assert.Equal(t, len(got.Keys), count)
		_, err := key.Parse(got.Keys[count-1])
		assert.NilError(t, err)
	}
}

func TestClaimsAreListed(t *testing.T) {
	k, err := key.New("coast")
	assert.NilError(t, err)
	status, text := call(t, http.MethodPost, "/v1/account/claims", fmt.Sprintf(`{"keys":[%q,"no key"]}`, k))
	assert.Equal(t, status, http.StatusOK)
	var got ClaimsResponse
	assert.NilError(t, json.Unmarshal([]byte(text), &got))
	assert.Equal(t, len(got.Results), 2)
	assert.Assert(t, got.Results[0].Granted && got.Results[0].Key == k.String())
	assert.Assert(t, !got.Results[1].Granted && got.Results[1].Error != nil)

	status, text = call(t, http.MethodPost, "/v1/account/claims", `{"keys":[""`+strings.Repeat(`,""`, maxClaimKeys)+`]}`)
	assert.Equal(t, status, http.StatusRequestEntityTooLarge, text)
}

func TestManifestThatTakesTooMuchMemoryIsTooLarge(t *testing.T) {
	status, text := call(t, http.MethodPut, "/v1/manifest?base=0", "kinds: ["+strings.Repeat("a,", 100_000)+"]")
	assert.Equal(t, status, http.StatusRequestEntityTooLarge, text)
}
