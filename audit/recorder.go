package audit

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/admin"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/platformlog"
)

// recordTimeout bounds the time that an operator command waits for its record
// to be appended to the log.
const recordTimeout = time.Second

// Recorder is an admin.Backend that records the operator commands that another
// Backend has accepted. A command is executed even if the record can't be
// appended; the daemon's own log then has the only record of it.
type Recorder struct {
	admin.Backend
	log     platformlog.Log
	logger  *zap.Logger
	self    ident.Node
	service ident.Service
}

// NewRecorder returns a Recorder for the daemon self, whose target belongs to
// svc.
func NewRecorder(backend admin.Backend, log platformlog.Log, logger *zap.Logger, self ident.Node, svc ident.Service) *Recorder {
	return &Recorder{Backend: backend, log: log, logger: logger, self: self, service: svc}
}

// Drain implements admin.Backend.
func (r *Recorder) Drain(ctx context.Context, req *admin.DrainRequest) (*admin.DrainResponse, error) {
	answer, err := r.Backend.Drain(ctx, req)
	if err != nil || answer.Already {
		return answer, err
	}
	r.record(ctx, &Command{
		Kind:     CommandDrain,
		Service:  r.service,
		Node:     r.self,
		Operator: req.Operator,
		Reason:   req.Reason,
	})
	return answer, nil
}

// ConfirmLoss implements admin.Backend.
func (r *Recorder) ConfirmLoss(ctx context.Context, req *admin.ConfirmLossRequest) (*admin.ConfirmLossResponse, error) {
	answer, err := r.Backend.ConfirmLoss(ctx, req)
	if err != nil {
		return answer, err
	}
	r.record(ctx, &Command{
		Kind:     CommandConfirmLoss,
		Service:  req.Service,
		Node:     ident.Node{Instance: req.Instance, Incarnation: req.Incarnation},
		Operator: req.Operator,
		Reason:   req.Reason,
	})
	return answer, nil
}

func (r *Recorder) record(ctx context.Context, c *Command) {
	fields := []zap.Field{
		zap.String("kind", string(c.Kind.entryKind())),
		zap.Stringer("node", c.Node),
		zap.String("operator", c.Operator),
		zap.String("reason", c.Reason),
	}
	logevent.Log(r.logger, logevent.CommandExecuted, fields...)
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := c.Append(ctx, r.log); err != nil {
		logevent.Log(r.logger, logevent.CommandNotRecorded, append(fields, zap.Error(err))...)
	}
}
