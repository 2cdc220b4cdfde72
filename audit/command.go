package audit

//msgp:tuple Command

import (
	"context"
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// CommandStream is the stream in which daemons record operator commands.
const CommandStream platformlog.Stream = "orders"

// Command is an operator command that a daemon has accepted. It is recorded for
// the audit trail only and has no effect on the system's state.
type Command struct {
	Kind     CommandKind   `msg:"k"`
	Service  ident.Service `msg:"s"`
	Node     ident.Node    `msg:"n"` // the process that the command applies to
	Operator string        `msg:"o"`
	Reason   string        `msg:"r"`
}

// CommandKind is the type of an operator command.
type CommandKind uint8

const (
	// CommandDrain requests the planned stop of Node.
	CommandDrain CommandKind = 1
	// CommandConfirmLoss confirms that Node is lost permanently.
	CommandConfirmLoss CommandKind = 2
)

func (k CommandKind) entryKind() Kind {
	switch k {
	case CommandDrain:
		return DrainRequested
	case CommandConfirmLoss:
		return LossConfirmed
	}
	return Unknown
}

// Append appends the command to CommandStream.
func (c *Command) Append(ctx context.Context, log platformlog.Log) error {
	payload, err := c.MarshalMsg(nil)
	if err != nil {
		return fmt.Errorf("audit: the operator command can't be encoded: %w", err)
	}
	if _, err := log.Append(ctx, CommandStream, payload); err != nil {
		return fmt.Errorf("audit: the operator command may be missing from the audit trail: %w", err)
	}
	return nil
}

// ReadCommands returns the entries of operator commands in log order.
func ReadCommands(ctx context.Context, log platformlog.Log) ([]Entry, error) {
	records, err := readAll(ctx, log, CommandStream)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(records))
	for _, rec := range records {
		entries = append(entries, commandEntry(rec))
	}
	return entries, nil
}

func commandEntry(rec platformlog.Record) Entry {
	e := Entry{Time: time.Unix(0, rec.Time), Stream: CommandStream, Offset: rec.Offset}
	var c Command
	if _, err := c.UnmarshalMsg(rec.Payload); err != nil {
		e.Kind = Unknown
		e.Reason = err.Error()
		return e
	}
	e.Kind = c.Kind.entryKind()
	e.Service = c.Service
	e.Node = c.Node.String()
	e.Author = c.Operator
	e.Reason = c.Reason
	return e
}
