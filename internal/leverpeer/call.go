package leverpeer

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// maxUnreadReplies is how many replies of one call are held for a slow reader.
// A call with more is ended with ErrOverflow, so that it does not delay the other
// calls of the connection.
const maxUnreadReplies = 256

// ErrOverflow means that a call was ended because its replies were not read.
const ErrOverflow = errors.ConstError("too many unread replies")

// Call is a request in flight and the stream of its replies. Next is called by
// one goroutine at a time.
type Call struct {
	conn *clientConn
	id   CallID
	once sync.Once

	mu      sync.Mutex
	replies []*Frame
	// err is why no further reply follows the ones in replies.
	err error
	// changed has a value after replies or err have changed.
	changed chan struct{}
}

func newCall(c *clientConn, id CallID) *Call {
	return &Call{conn: c, id: id, changed: make(chan struct{}, 1)}
}

// add appends a reply. It returns false if there are too many unread ones.
func (c *Call) add(f *Frame) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.replies) >= maxUnreadReplies {
		return false
	}
	c.replies = append(c.replies, f)
	c.notify()
	return true
}

// end makes Next return err after the replies that have arrived.
func (c *Call) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
	c.notify()
}

func (c *Call) notify() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// take returns the next reply, or nil and why there is none, or nil twice if one
// may follow.
func (c *Call) take() (*Frame, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.replies) == 0 {
		return nil, c.err
	}
	f := c.replies[0]
	c.replies = c.replies[1:]
	return f, nil
}

// Next returns the body of the next reply and whether it is the last. Replies
// that arrived before the connection ended are returned first.
func (c *Call) Next(ctx context.Context) (body []byte, last bool, err error) {
	for {
		f, err := c.take()
		if err != nil {
			return nil, false, err
		}
		if f != nil {
			return decodeReply(f)
		}
		select {
		case <-c.changed:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

func decodeReply(f *Frame) ([]byte, bool, error) {
	if f.Op == opError {
		return nil, true, errors.New(string(f.Body))
	}
	return f.Body, f.Op == opLastReply, nil
}

// Ready returns a channel that has a value when Poll may have a new result.
func (c *Call) Ready() <-chan struct{} { return c.changed }

// Poll returns the body of the next reply if one has arrived. Otherwise ok is
// false, and err says why no reply follows, if none does. A reply that is an error
// of the peer is returned as err, too.
func (c *Call) Poll() (body []byte, ok bool, err error) {
	f, err := c.take()
	if f == nil {
		return nil, false, err
	}
	body, _, err = decodeReply(f)
	return body, err == nil, err
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
