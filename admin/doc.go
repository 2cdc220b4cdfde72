// Package admin is the HTTP interface of a daemon for operators: the types that
// are encoded as JSON, a Client, and a Handler that serves a daemon's Backend.
//
//	GET  /v1/status                      Status
//	GET  /v1/explain?service=&key=       Explanation
//	POST /v1/drain         DrainRequest        -> DrainResponse
//	POST /v1/confirm-loss  ConfirmLossRequest  -> ConfirmLossResponse
//	POST /v1/release       ReleaseRequest      -> ReleaseResponse
//
// Every refusal is an Error encoded as JSON with a status of 400 or above.
package admin
