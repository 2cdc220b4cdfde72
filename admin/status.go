package admin

import (
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Status is what one daemon knows of itself and of its cells.
type Status struct {
	Instance    ident.Instance    `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation,string"`
	Region      ident.Region      `json:"region"`
	Zone        ident.Zone        `json:"availability_zone"`
	Service     ident.Service     `json:"service"`
	Ready       bool              `json:"ready"`    // it takes requests of callers
	Draining    bool              `json:"draining"` // a planned stop is under way
	Target      TargetStatus      `json:"target"`
	Config      ConfigStatus      `json:"config"`
	Cells       []CellStatus      `json:"cells"`
	Log         LogStatus         `json:"platform_log"`
	Warnings    []string          `json:"warnings,omitempty"` // conditions that an operator should look at
}

// TargetStatus describes the target beside the daemon.
type TargetStatus struct {
	Addr     string `json:"address"`
	Ready    bool   `json:"ready"`
	InFlight int    `json:"in_flight"` // requests that it runs now
	Queued   int    `json:"queued"`    // requests that wait for a slot
	Slots    int    `json:"slots"`
}

// ConfigStatus says which configuration the daemon has in force.
type ConfigStatus struct {
	Offset   platformlog.Offset `json:"offset"`    // newest record that is in force
	AtTail   bool               `json:"at_tail"`   // the end of the stream was reached since the start
	PeerSeen platformlog.Offset `json:"peer_seen"` // newest offset that another daemon has named
	Services []ServiceVersion   `json:"services"`
	Fault    string             `json:"fault,omitempty"` // why the configuration is not complete
}

// ServiceVersion is the version of one service's configuration.
type ServiceVersion struct {
	Service ident.Service      `json:"service"`
	Version platformlog.Offset `json:"version"` // offset of the record that put it into force
	Blocked string             `json:"blocked,omitempty"`
}

// LogStatus says how the platform's log service answers.
type LogStatus struct {
	Addr      string        `json:"address"`
	Reachable bool          `json:"reachable"`
	TailAge   time.Duration `json:"tail_age_ns"` // time since the start of the last read that reached the end of the cell's stream
}

// CellStatus is one cell as the daemon knows it.
type CellStatus struct {
	Service     ident.Service  `json:"service"`
	Region      ident.Region   `json:"region"`
	Index       int            `json:"index"`
	Term        uint64         `json:"term"`
	Leader      string         `json:"leader"` // instance#incarnation, "-" if unknown
	Deputy      string         `json:"deputy"`
	Complete    bool           `json:"complete"` // Ranges lists the whole cell, as on leader and deputy
	Members     []MemberStatus `json:"members"`
	Ranges      []RangeStatus  `json:"ranges"`
	Provisional int            `json:"provisional"` // assignments not yet in the log
	// Leaderless is set for a cell whose members agree by a table in the store,
	// without leader and deputy. Term is then how far the store was read.
	Leaderless bool `json:"leaderless,omitempty"`
}

// MemberStatus is one member of a cell.
type MemberStatus struct {
	Instance     ident.Instance     `json:"instance"`
	Incarnation  ident.Incarnation  `json:"incarnation,string"`
	Zone         ident.Zone         `json:"availability_zone"`
	Addr         string             `json:"address"`
	Slots        int                `json:"slots"`
	ConfigOffset platformlog.Offset `json:"config_offset"` // 0 if it is not known
}

// RangeStatus is one assigned range.
type RangeStatus struct {
	Range     string        `json:"range"`
	Owner     string        `json:"owner"`
	Token     string        `json:"token"`
	LeaseLeft time.Duration `json:"lease_left_ns,omitempty"` // what is left of the lease, if the daemon holds it itself
}
