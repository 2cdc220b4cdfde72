package admin

import (
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Explanation holds the owner that requests of a key are routed to, and the
// reason.
type Explanation struct {
	Service  ident.Service      `json:"service"`
	Key      string             `json:"key"`
	Point    string             `json:"point"` // position in the hash space, hexadecimal
	Divided  bool               `json:"divided"`
	Version  platformlog.Offset `json:"config_version"`
	Cell     string             `json:"cell,omitempty"`
	Range    string             `json:"range,omitempty"`
	Owner    string             `json:"owner,omitempty"`
	Addr     string             `json:"owner_address,omitempty"`
	Token    string             `json:"token,omitempty"`
	Since    time.Time          `json:"since,omitzero"`
	Why      string             `json:"why"`
	Previous []PreviousOwner    `json:"previous,omitempty"` // newest first
}

// PreviousOwner is an earlier owner of the key.
type PreviousOwner struct {
	Owner string    `json:"owner"`
	Token string    `json:"token"`
	Until time.Time `json:"until"`
	Why   string    `json:"why"`
}
