package leverpeer

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// Call is a request in flight and the stream of its replies.
type Call struct {
	conn    *clientConn
	id      CallID
	replies chan *Frame
	once    sync.Once
}

// Next returns the body of the next reply and whether it is the last.
func (c *Call) Next(ctx context.Context) (body []byte, last bool, err error) {
	select {
	case f, ok := <-c.replies:
		return decodeReply(f, ok)
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

func decodeReply(f *Frame, ok bool) ([]byte, bool, error) {
	if !ok {
		return nil, false, ErrClosed
	}
	if f.Op == opError {
		return nil, true, errors.New(string(f.Body))
	}
	return f.Body, f.Op == opLastReply, nil
}

// Signal sends a further message to the handler of the request.
func (c *Call) Signal(msg any) error {
	body, err := encode(msg)
	if err != nil {
		return err
	}
	return c.conn.link.send(&Frame{Op: opSignal, Call: c.id, Body: body})
}

// Close ends the call. If its last reply has not arrived, the peer is asked to
// cancel the request.
func (c *Call) Close() {
	c.once.Do(func() {
		if c.conn.removeCall(c.id) {
			_ = c.conn.link.send(&Frame{Op: opCancel, Call: c.id})
		}
	})
}
