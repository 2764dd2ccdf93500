package api

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"currantstall/internal/key"
	"currantstall/internal/manifest"
	"currantstall/internal/strictjson"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

const defaultAccountLimit = 1000 // lines of the account per response

// AccountLine is the outcome of one key in the account, which both systems read.
type AccountLine struct {
	Position string          `json:"position"` // value of ?after= to read the lines that follow
	Key      string          `json:"key"`
	Verdict  verdict.Verdict `json:"verdict"`
	Reason   verdict.Reason  `json:"reason,omitempty"`
	System   string          `json:"system"` // system that claimed the key
	At       time.Time       `json:"at"`
}

// Account gives access to the account: the outcomes of the keys that have run.
type Account interface {
	// Read returns up to limit lines after a position, oldest first.
	Read(ctx context.Context, after string, limit int) (AccountPage, error)
	// ClaimExternal claims a key for the old system. It returns nil if the old
	// system may run the work of the key, else an error that describes the state
	// of the key.
	ClaimExternal(ctx context.Context, k key.Key) error
}

// Status is the state of an entry, for operators.
type Status struct {
	Name  string `json:"name"`
	DC    string `json:"data_centre"`
	State string `json:"state"`
	Ready bool   `json:"ready"`
	// ForwardOnly means that the entry is not a member of a view and forwards
	// all work to linked members.
	ForwardOnly     bool         `json:"passes_on"`
	ManifestVersion uint64       `json:"manifest_version"`
	View            structs.View `json:"view"`
	Links           []string     `json:"links"`
	Targets         TargetCounts `json:"targets"`
	Kinds           []KindStatus `json:"kinds"`
	Goroutines      int          `json:"goroutines"`
	HeapBytes       uint64       `json:"heap_bytes"`
}

// TargetCounts counts the targets of the entry's data centre.
type TargetCounts struct {
	Known   int `json:"known"`
	Owned   int `json:"owned"`
	Ejected int `json:"ejected"`
	Leaving int `json:"leaving"`
}

// KindStatus is the load of one kind at this entry.
type KindStatus struct {
	Kind    string `json:"kind"`
	Queued  int    `json:"queued"`
	Running int    `json:"running"`
}

// KeysResponse is the response to POST /v1/keys.
type KeysResponse struct {
	Keys []string `json:"keys"`
}

func (s *server) postKeys(c echo.Context) error {
	count := 1
	if text := c.QueryParam("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxKeysPerCall {
			e := verdict.New(verdict.NotRun, verdict.BadRequest, "parameter count is %.40q, want a number from 1 to %d", text, maxKeysPerCall)
			return s.writeError(c, key.Key{}, e)
		}
		count = n
	}
	first, err := s.Engine.Mint()
	if err != nil {
		return s.writeError(c, key.Key{}, verdict.New(verdict.NotRun, verdict.Internal, "mint key: %w", err))
	}
	return writeList(c, "keys", count, func(i int) (any, error) {
		if i == 0 {
			return first.String(), nil
		}
		k, err := s.Engine.Mint()
		return k.String(), err
	})
}

// writeList responds with a JSON object whose only field is a list of count items. Each item is written
// once it is known, so that a long list takes no memory. If there is an error, the response breaks off.
func writeList(c echo.Context, field string, count int, item func(i int) (any, error)) error {
	w := c.Response()
	w.Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	w.WriteHeader(http.StatusOK)
	if _, err := fmt.Fprintf(w, `{%q:[`, field); err != nil {
		return err
	}
	separator := ""
	for i := range count {
		v, err := item(i)
		if err != nil {
			panic(http.ErrAbortHandler) // the status is sent
		}
		b, err := json.Marshal(v)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "%s%s", separator, b); err != nil {
			return err
		}
		separator = ","
	}
	_, err := w.Write([]byte("]}\n"))
	return err
}

func (s *server) getManifest(c echo.Context) error {
	m := s.Manifests.Current()
	if m == nil {
		return s.writeError(c, key.Key{}, verdict.New(verdict.NotRun, verdict.NotReady, "no manifest has been applied yet"))
	}
	return c.JSON(http.StatusOK, m)
}

// manifestShare is the part of the entry's memory that the decoding of a manifest may take.
const manifestShare = 4

// ManifestResponse is the response to PUT /v1/manifest.
type ManifestResponse struct {
	Version uint64 `json:"version"`
}

// putManifest replaces the manifest version given by the parameter base.
func (s *server) putManifest(c echo.Context) error {
	base, err := strconv.ParseUint(c.QueryParam("base"), 10, 64)
	if err != nil {
		e := verdict.New(verdict.NotRun, verdict.BadRequest, "parameter base must be the version to replace, or 0 for the first manifest")
		return s.writeError(c, key.Key{}, e)
	}
	body, hold, err := s.readBody(c, maxManifestBytes)
	if err != nil {
		return s.writeError(c, key.Key{}, err)
	}
	defer hold.Release()
	if most := s.Intake.Memory() / manifestShare; most > 0 && manifest.DecodeBytes(body) > most {
		return s.writeError(c, key.Key{}, verdict.New(verdict.NotRun, verdict.TooLarge, "the manifest would take more than %d MiB to decode, a quarter of the memory of this entry", most>>20))
	}
	select {
	case s.manifests <- struct{}{}:
		defer func() { <-s.manifests }()
	case <-c.Request().Context().Done():
		return c.Request().Context().Err()
	}
	m, err := manifest.Decode(body)
	if err != nil {
		return s.writeError(c, key.Key{}, verdict.New(verdict.NotRun, verdict.ManifestInvalid, "%w", err))
	}
	accepted, err := s.Manifests.Apply(c.Request().Context(), base, m)
	if err != nil {
		return s.writeError(c, key.Key{}, err)
	}
	return c.JSON(http.StatusOK, ManifestResponse{Version: accepted.Version})
}

// AccountPage is the response to GET /v1/account.
type AccountPage struct {
	Lines []AccountLine `json:"lines"`
	// Next is the position after which the next page begins.
	Next string `json:"next"`
	// Missing is the number of outcomes that belong between these lines but
	// were dropped during an outage.
	Missing int `json:"missing"`
}

func (s *server) getAccount(c echo.Context) error {
	limit := defaultAccountLimit
	if text := c.QueryParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxKeysPerCall {
			e := verdict.New(verdict.NotRun, verdict.BadRequest, "parameter limit is %.40q, want a number from 1 to %d", text, maxKeysPerCall)
			return s.writeError(c, key.Key{}, e)
		}
		limit = n
	}
	after := c.QueryParam("after")
	body, err := s.Account.Read(c.Request().Context(), after, limit)
	if err != nil {
		return s.writeError(c, key.Key{}, err)
	}
	return c.JSON(http.StatusOK, body)
}

// ClaimsRequest is the body of POST /v1/account/claims.
type ClaimsRequest struct {
	Keys KeyList `json:"keys"` // at most 25,000
}

// KeyList is a list of keys as text. Of a list that is too long it holds one key more than a call may have.
type KeyList []string

// UnmarshalJSON implements json.Unmarshaler.
func (l *KeyList) UnmarshalJSON(b []byte) (err error) {
	*l, err = strictjson.DecodeList[string](b, maxClaimKeys)
	return err
}

// ClaimResult states whether the old system may run the work of a key.
type ClaimResult struct {
	Key     string     `json:"key"`
	Granted bool       `json:"granted"`
	Error   *ErrorBody `json:"error,omitempty"`
}

// ClaimsResponse is the response to POST /v1/account/claims, with one result per
// key in the order of the request.
type ClaimsResponse struct {
	Results []ClaimResult `json:"results"`
}

func (s *server) postAccountClaims(c echo.Context) error {
	body, hold, err := s.readBody(c, maxClaimsBytes)
	if err != nil {
		return s.writeError(c, key.Key{}, err)
	}
	defer hold.Release()
	var cb ClaimsRequest
	if err := decodeStrict(body, &cb); err != nil {
		return s.writeError(c, key.Key{}, err)
	}
	if len(cb.Keys) > maxClaimKeys {
		return s.writeError(c, key.Key{}, verdict.New(verdict.NotRun, verdict.TooLarge, "a call has at most %d keys", maxClaimKeys))
	}
	return writeList(c, "results", len(cb.Keys), func(i int) (any, error) {
		return s.claimExternal(c.Request().Context(), cb.Keys[i]), nil
	})
}

func (s *server) claimExternal(ctx context.Context, text string) ClaimResult {
	k, err := key.Parse(text)
	if err != nil {
		e := verdict.New(verdict.NotRun, verdict.BadKey, "%w", err)
		return ClaimResult{Key: text, Error: errorBody(e)}
	}
	if err := s.Account.ClaimExternal(ctx, k); err != nil {
		return ClaimResult{Key: text, Error: errorBody(verdict.FromError(err))}
	}
	return ClaimResult{Key: text, Granted: true}
}

func (s *server) getStatus(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Status())
}
