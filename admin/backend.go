package admin

import (
	"context"

	"github.com/parsleystack/parsleystack/ident"
)

// Backend is implemented by a daemon to serve operators. Its methods are called
// concurrently. A refusal is returned as *Error; any other error becomes an
// Error with status 500.
type Backend interface {
	Status(ctx context.Context) (*Status, error)
	Explain(ctx context.Context, svc ident.Service, key string) (*Explanation, error)
	Drain(ctx context.Context, req *DrainRequest) (*DrainResponse, error)
	ConfirmLoss(ctx context.Context, req *ConfirmLossRequest) (*ConfirmLossResponse, error)
	Release(ctx context.Context, req *ReleaseRequest) (*ReleaseResponse, error)
}
