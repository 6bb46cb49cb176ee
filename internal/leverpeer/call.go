package leverpeer

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// Call is one request in flight and its replies.
type Call struct {
	conn    *clientConn
	id      CallID
	replies chan *Frame
	once    sync.Once
}

// Next returns the body of the next reply and whether it is the last.
func (l *Call) Next(ctx context.Context) (body []byte, last bool, err error) {
	select {
	case f, ok := <-l.replies:
		return openReply(f, ok)
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

func openReply(f *Frame, ok bool) ([]byte, bool, error) {
	if !ok {
		return nil, false, ErrClosed
	}
	if f.Op == opError {
		return nil, true, errors.New(string(f.Body))
	}
	return f.Body, f.Op == opLastReply, nil
}

// Signal sends a message that belongs to the call.
func (l *Call) Signal(msg any) error {
	body, err := encode(msg)
	if err != nil {
		return err
	}
	return l.conn.link.send(&Frame{Op: opSignal, Call: l.id, Body: body})
}

// Close ends the call; if its last reply has not come, the peer cancels it.
func (l *Call) Close() {
	l.once.Do(func() {
		if l.conn.drop(l.id) {
			_ = l.conn.link.send(&Frame{Op: opCancel, Call: l.id})
		}
	})
}
