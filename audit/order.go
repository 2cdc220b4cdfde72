package audit

//msgp:tuple Order

import (
	"context"
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// OrderStream is the stream in which daemons note operators' orders.
const OrderStream platformlog.Stream = "orders"

// Order is an operator's order to a daemon. It is noted for the trail only;
// nothing is decided from it.
type Order struct {
	Kind     OrderKind     `msg:"k"`
	Service  ident.Service `msg:"s"`
	Node     ident.Node    `msg:"n"` // the process that the order is about
	Operator string        `msg:"o"`
	Reason   string        `msg:"r"`
}

// OrderKind says what was ordered.
type OrderKind uint8

const (
	// OrderDrain asks for the planned stop of Node.
	OrderDrain OrderKind = 1
	// OrderConfirmLoss confirms that Node is gone for good.
	OrderConfirmLoss OrderKind = 2
)

func (k OrderKind) entryKind() Kind {
	switch k {
	case OrderDrain:
		return DrainOrdered
	case OrderConfirmLoss:
		return LossConfirmed
	}
	return Unknown
}

// Append notes the order in the log.
func (o *Order) Append(ctx context.Context, log platformlog.Log) error {
	payload, err := o.MarshalMsg(nil)
	if err != nil {
		return fmt.Errorf("audit: an order can't be encoded: %w", err)
	}
	if _, err := log.Append(ctx, OrderStream, payload); err != nil {
		return fmt.Errorf("audit: an order may be missing from the trail: %w", err)
	}
	return nil
}

// ReadOrders returns the entries of operators' orders in log order.
func ReadOrders(ctx context.Context, log platformlog.Log) ([]Entry, error) {
	records, err := readAll(ctx, log, OrderStream)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(records))
	for _, rec := range records {
		entries = append(entries, orderEntry(rec))
	}
	return entries, nil
}

func orderEntry(rec platformlog.Record) Entry {
	e := Entry{Time: time.Unix(0, rec.Time), Stream: OrderStream, Offset: rec.Offset}
	var o Order
	if _, err := o.UnmarshalMsg(rec.Payload); err != nil {
		e.Kind = Unknown
		e.Reason = err.Error()
		return e
	}
	e.Kind = o.Kind.entryKind()
	e.Service = o.Service
	e.Node = o.Node.String()
	e.Author = o.Operator
	e.Reason = o.Reason
	return e
}
