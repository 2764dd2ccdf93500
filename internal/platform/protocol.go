package platform

// Limits of the platform, for each request.
const (
	MaxTxnPuts     = 256      // rows that a transaction may write
	MaxTxnBytes    = 1 << 20  // bytes of keys and values in a transaction
	MaxScanRows    = 1000     // rows in an answer to a scan
	MaxObjectBytes = 16 << 20 // bytes of an object
)

// Paths of the platform's HTTP interface. All take POST with a JSON body,
// except that objects are raw bytes under PathObject + "?name=".
const (
	PathGet       = "/v1/table/get"
	PathScan      = "/v1/table/scan"
	PathCommit    = "/v1/table/commit"
	PathObjectPut = "/v1/objects/put"
	PathObjectGet = "/v1/objects/get"
	PathVMs       = "/v1/vms/list"
	PathAnnounce  = "/v1/vms/announce"
)

// GetRequest asks for one row.
type GetRequest struct {
	Key string `json:"key"`
}

// ScanRequest asks for a page of rows.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// ScanResponse is a page of rows in key order.
type ScanResponse struct {
	Rows []Row `json:"rows"`
}

// VMsResponse is the platform's list.
type VMsResponse struct {
	VMs []VM `json:"vms"`
}

// Code names an error on the wire.
type Code string

// The codes of an ErrorResponse.
const (
	CodeConflict    Code = "conflict"
	CodeNotFound    Code = "not_found"
	CodeUnavailable Code = "unavailable"
	CodeRateLimited Code = "rate_limited"
	CodeRejected    Code = "rejected"
)

// ErrorResponse is the body of every answer with a status of 400 or above. An
// answer without a known code did not come from the platform.
type ErrorResponse struct {
	Code    Code   `json:"code"`
	Message string `json:"message,omitempty"`
}
