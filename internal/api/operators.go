package api

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"currantstall/internal/key"
	"currantstall/internal/manifest"
	"currantstall/internal/structs"
	"currantstall/internal/verdict"
)

const defaultAccountLimit = 1000 // lines of the account in one answer

// AccountLine is one key of the account that both systems read.
type AccountLine struct {
	Position string          `json:"position"` // for ?after=
	Key      string          `json:"key"`
	Verdict  verdict.Verdict `json:"verdict"`
	Reason   verdict.Reason  `json:"reason,omitempty"`
	System   string          `json:"system"` // which system claimed the key
	At       time.Time       `json:"at"`
}

// Account is the account of what has run.
type Account interface {
	// Read returns up to limit lines after a position, oldest first.
	Read(ctx context.Context, after string, limit int) (AccountPage, error)
	// ClaimExternal claims a key for the old system. It returns nil if the
	// old system may run it, else what is known of the key.
	ClaimExternal(ctx context.Context, k key.Key) error
}

// Status is the entry's view of itself, for operators.
type Status struct {
	Name  string `json:"name"`
	DC    string `json:"data_centre"`
	State string `json:"state"`
	Ready bool   `json:"ready"`
	// ForwardOnly means that the entry is no member of a view and hands work to
	// the members that it is linked to.
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

// KeysResponse is the answer to POST /v1/keys.
type KeysResponse struct {
	Keys []string `json:"keys"`
}

func (s *server) postKeys(c echo.Context) error {
	count := 1
	if text := c.QueryParam("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxKeysPerCall {
			e := verdict.New(verdict.NotRun, verdict.BadRequest, "count %.40q is not a number of 1 to %d", text, maxKeysPerCall)
			return s.writeError(c, key.Key{}, e)
		}
		count = n
	}
	var body KeysResponse
	for range count {
		k, err := s.Engine.Mint()
		if err != nil {
			return s.writeError(c, key.Key{}, verdict.New(verdict.NotRun, verdict.Internal, "mint key: %w", err))
		}
		body.Keys = append(body.Keys, k.String())
	}
	return c.JSON(http.StatusOK, body)
}

func (s *server) getManifest(c echo.Context) error {
	m := s.Manifests.Current()
	if m == nil {
		return s.writeError(c, key.Key{}, verdict.New(verdict.NotRun, verdict.NotReady, "no manifest has been applied yet"))
	}
	return c.JSON(http.StatusOK, m)
}

// ManifestResponse is the answer to PUT /v1/manifest.
type ManifestResponse struct {
	Version uint64 `json:"version"`
}

// putManifest replaces the version that the parameter base names.
func (s *server) putManifest(c echo.Context) error {
	base, err := strconv.ParseUint(c.QueryParam("base"), 10, 64)
	if err != nil {
		e := verdict.New(verdict.NotRun, verdict.BadRequest, "parameter base must name the version to replace, 0 for the first")
		return s.writeError(c, key.Key{}, e)
	}
	body, release, err := s.readBody(c, maxManifestBytes)
	if err != nil {
		return s.writeError(c, key.Key{}, err)
	}
	defer release()
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

// AccountPage is the answer to GET /v1/account.
type AccountPage struct {
	Lines []AccountLine `json:"lines"`
	// Next is the position to read on from.
	Next string `json:"next"`
	// Missing is the number of outcomes that were dropped in an outage and
	// would stand among these lines.
	Missing int `json:"missing"`
}

func (s *server) getAccount(c echo.Context) error {
	limit := defaultAccountLimit
	if text := c.QueryParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxKeysPerCall {
			e := verdict.New(verdict.NotRun, verdict.BadRequest, "limit %.40q is not a number of 1 to %d", text, maxKeysPerCall)
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
	Keys []string `json:"keys"`
}

// ClaimResult says whether the old system may run a key.
type ClaimResult struct {
	Key     string     `json:"key"`
	Granted bool       `json:"granted"`
	Error   *ErrorBody `json:"error,omitempty"`
}

// ClaimsResponse is the answer to POST /v1/account/claims, one result a key.
type ClaimsResponse struct {
	Results []ClaimResult `json:"results"`
}

func (s *server) postAccountClaims(c echo.Context) error {
	body, release, err := s.readBody(c, maxClaimsBytes)
	if err != nil {
		return s.writeError(c, key.Key{}, err)
	}
	defer release()
	var cb ClaimsRequest
	if err := decodeStrict(body, &cb); err != nil {
		return s.writeError(c, key.Key{}, err)
	}
	var answer ClaimsResponse
	for _, text := range cb.Keys {
		answer.Results = append(answer.Results, s.claimExternal(c.Request().Context(), text))
	}
	return c.JSON(http.StatusOK, answer)
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
