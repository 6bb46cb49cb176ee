package leverpeer

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/juju/errors"
)

// Remark is what every frame says of its sender.
type Remark struct {
	Stamp leverevent.Stamp
	// Config is the newest configuration that the VM has.
	Config  leverid.ConfigVersion
	Leaving bool
}

func (f *Frame) remark() Remark { return Remark{f.Stamp, f.Config, f.Leaving} }

func (f *Frame) setRemark(r Remark) {
	f.Stamp = r.Stamp
	f.Config = r.Config
	f.Leaving = r.Leaving
}

// Hooks lets the VM learn from the frames that pass. Its methods are called
// from several goroutines and must not block.
type Hooks interface {
	// Say returns what goes with a frame to send.
	Say() Remark
	// Heard takes in what came with a peer's frame.
	Heard(vm levermsg.VM, r Remark)
	// Down takes in that a peer does not answer.
	Down(id leverid.VMID, reason error)
}

// ErrClosed means that the connection to the peer ended.
const ErrClosed = errors.ConstError("peer connection closed")

const (
	// outboxLength is in frames. A VM has a link to and from each of its peers,
	// so the buffers are small; a large frame passes around them.
	outboxLength = 64
	bufferSize   = 4 << 10
	writeTimeout = 2 * time.Second
)

// link is what both ends of a connection share: an outbox that a loop writes.
type link struct {
	conn  net.Conn
	r     *bufio.Reader
	hooks Hooks
	timer *levertimer.Service
	peer  levermsg.VM

	outbox chan []byte
	done   chan struct{}
	once   sync.Once
	heard  atomic.Int64 // Unix nanoseconds of the last frame

	counters *leverevent.Counters
}

func newLink(c net.Conn, h Hooks, t *levertimer.Service, n *leverevent.Counters) *link {
	return &link{
		conn:   c,
		r:      bufio.NewReaderSize(c, bufferSize),
		hooks:  h,
		timer:  t,
		outbox: make(chan []byte, outboxLength),
		done:   make(chan struct{}),

		counters: n,
	}
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		_ = l.conn.Close()
	})
}

// send queues a frame. It fails if the link is closed.
func (l *link) send(f *Frame) error {
	f.setRemark(l.hooks.Say())
	b, err := AppendFrame(nil, f)
	if err != nil {
		return err
	}
	select {
	case l.outbox <- b:
		return nil
	case <-l.done:
		return ErrClosed
	}
}

// runWriter writes queued frames and flushes whenever none is left.
func (l *link) runWriter() {
	defer l.close()
	w := bufio.NewWriterSize(l.conn, bufferSize)
	for {
		select {
		case b := <-l.outbox:
			if err := l.writeAll(w, b); err != nil {
				return
			}
		case <-l.done:
			return
		}
	}
}

func (l *link) writeAll(w *bufio.Writer, b []byte) error {
	if err := l.conn.SetWriteDeadline(l.timer.Now().Add(writeTimeout)); err != nil {
		return err
	}
	for {
		n, err := w.Write(b)
		l.counters.Add("peer-bytes-sent", int64(n))
		if err != nil {
			return err
		}
		select {
		case b = <-l.outbox:
		default:
			return w.Flush()
		}
	}
}

// read returns the next frame and notes what it says.
func (l *link) read() (*Frame, error) {
	f, err := ReadFrame(l.r, MaxFrame)
	if err != nil {
		return nil, err
	}
	l.heard.Store(l.timer.Now().UnixNano())
	l.hooks.Heard(l.peer, f.remark())
	return f, nil
}

// writeNow writes one frame at once, for the handshake.
func (l *link) writeNow(op Op, v any) error {
	body, err := encode(v)
	if err != nil {
		return err
	}
	f := &Frame{Op: op, Body: body}
	f.setRemark(l.hooks.Say())
	b, err := AppendFrame(nil, f)
	if err != nil {
		return err
	}
	_, err = l.conn.Write(b)
	return err
}

// readNow reads one frame of the handshake into v.
func (l *link) readNow(op Op, v any) error {
	f, err := ReadFrame(l.r, maxHello)
	if err != nil {
		return err
	}
	if f.Op != op {
		return errors.Annotatef(ErrFrame, "operation %d instead of %d", f.Op, op)
	}
	return Decode(f.Body, v)
}
