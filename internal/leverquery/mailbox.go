package leverquery

import (
	"sync"

	"arbutuslever.dev/lever/internal/levermsg"
)

// mailbox hands results from many goroutines to one reader without ever
// blocking a writer. The zero value is not usable.
type mailbox struct {
	mu     sync.Mutex
	queue  []levermsg.Result
	signal chan struct{}
}

func newMailbox() *mailbox { return &mailbox{signal: make(chan struct{}, 1)} }

func (m *mailbox) put(r levermsg.Result) {
	m.mu.Lock()
	m.queue = append(m.queue, r)
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

func (m *mailbox) take() []levermsg.Result {
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.queue
	m.queue = nil
	return q
}
