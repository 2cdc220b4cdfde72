package daemon

import (
	"slices"
	"sync"
)

// maxFaults is the number of recent faults in the status.
const maxFaults = 8

// faultList keeps the newest distinct faults for the status. It is safe for
// concurrent use.
type faultList struct {
	mu       sync.Mutex
	messages []string
}

func (l *faultList) add(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	msg := err.Error()
	l.messages = slices.DeleteFunc(l.messages, func(m string) bool { return m == msg })
	l.messages = append(l.messages, msg)
	if extra := len(l.messages) - maxFaults; extra > 0 {
		l.messages = slices.Delete(l.messages, 0, extra)
	}
}

func (l *faultList) list() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.messages)
}
