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

// BudgetError reports a message that was not received completely, since all messages
// together would exceed their memory. Limit is that of all of them.
type BudgetError struct {
	Source Source
	Limit  int // bytes
}

func (e *BudgetError) Error() string {
	return fmt.Sprintf("a message from the %s does not fit the %d bytes for messages that are received at the same time; check who sends so much, or raise the memory of the daemon", e.Source, e.Limit)
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
