package recvlimit

import (
	"errors"
	"fmt"
)

// MessageError reports a message that is larger than a single one may be.
type MessageError struct {
	Source Source
	Limit  int // bytes
}

func (e *MessageError) Error() string {
	return fmt.Sprintf("a message from the %s exceeds %d bytes; check why it sends so much", e.Source, e.Limit)
}

// BudgetError reports a message that was not received completely, since the messages
// of its source together would exceed their budget.
type BudgetError struct {
	Source Source
	Limit  int // bytes
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("the messages received from the %s at the same time exceed %d bytes; check why it sends so much, or raise the memory of the daemon", e.Source, e.Limit)
}

// Exceeded returns the source of a message that was not received completely because
// of its size. It returns false for any other error.
func Exceeded(err error) (Source, bool) {
	var message *MessageError
	var budget *BudgetError
	switch {
	case errors.As(err, &message):
		return message.Source, true
	case errors.As(err, &budget):
		return budget.Source, true
	}
	return "", false
}
