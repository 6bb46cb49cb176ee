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

// SenderInfo is the state of the sender that every frame carries.
type SenderInfo struct {
	Stamp leverevent.Stamp
	// Config is the newest configuration version that the VM has.
	Config leverid.ConfigVersion
	// Leaving is set while the VM is stopping.
	Leaving bool
}

func (f *Frame) senderInfo() SenderInfo { return SenderInfo{f.Stamp, f.Config, f.Leaving} }

func (f *Frame) setSenderInfo(r SenderInfo) {
	f.Stamp = r.Stamp
	f.Config = r.Config
	f.Leaving = r.Leaving
}

// Hooks supplies the state that sent frames carry and observes received ones.
// Its methods are called concurrently and must not block.
type Hooks interface {
	// LocalInfo returns the state of this VM, to be sent with a frame.
	LocalInfo() SenderInfo
	// FrameReceived is called for each frame received from a peer.
	FrameReceived(vm levermsg.VM, r SenderInfo)
	// PeerUnreachable is called when a connection to a peer can't be opened or
	// ends, also by Client.Close. It is not called for a connection that was
	// closed because it was unused.
	PeerUnreachable(id leverid.VMID, reason error)
}

// ErrClosed means that there is no connection to the peer, or that it ended.
const ErrClosed = errors.ConstError("peer connection closed")

const (
	// A VM has a link to and from each of its peers, so the outbox and the
	// buffers are small. Frames larger than bufferSize bypass the buffers.
	outboxFrames = 64
	bufferBytes  = 4 << 10
	// writeTimeout bounds writing the queued frames and the flush after them.
	writeTimeout = 2 * time.Second
)

// link is the part common to both ends of a connection. Frames to send are
// queued in an outbox that runWriter drains.
type link struct {
	conn  net.Conn
	r     *bufio.Reader
	hooks Hooks
	timer *levertimer.Service
	peer  levermsg.VM

	outbox       chan []byte
	done         chan struct{}
	once         sync.Once
	lastReceived atomic.Int64 // time of the last frame in Unix nanoseconds

	counters *leverevent.Counters
}

func newLink(c net.Conn, h Hooks, t *levertimer.Service, n *leverevent.Counters) *link {
	return &link{
		conn:   c,
		r:      bufio.NewReaderSize(c, bufferBytes),
		hooks:  h,
		timer:  t,
		outbox: make(chan []byte, outboxFrames),
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

// send queues a frame. It blocks while the outbox is full and fails if the link
// is closed.
func (l *link) send(f *Frame) error {
	f.setSenderInfo(l.hooks.LocalInfo())
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

// runWriter writes queued frames and flushes when the outbox is empty.
func (l *link) runWriter() {
	defer l.close()
	w := bufio.NewWriterSize(l.conn, bufferBytes)
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

// read returns the next frame and passes its sender's state to the hooks.
func (l *link) read() (*Frame, error) {
	f, err := ReadFrame(l.r, MaxFrameBytes)
	if err != nil {
		return nil, err
	}
	l.lastReceived.Store(l.timer.Now().UnixNano())
	l.hooks.FrameReceived(l.peer, f.senderInfo())
	return f, nil
}

// writeHandshake writes a handshake frame without the outbox.
func (l *link) writeHandshake(op Op, v any) error {
	body, err := encode(v)
	if err != nil {
		return err
	}
	f := &Frame{Op: op, Body: body}
	f.setSenderInfo(l.hooks.LocalInfo())
	b, err := AppendFrame(nil, f)
	if err != nil {
		return err
	}
	_, err = l.conn.Write(b)
	return err
}

// readHandshake reads a handshake frame into v.
func (l *link) readHandshake(op Op, v any) error {
	f, err := ReadFrame(l.r, maxHelloBytes)
	if err != nil {
		return err
	}
	if f.Op != op {
		return errors.Annotatef(ErrFrame, "got operation %d, want %d", f.Op, op)
	}
	return Decode(f.Body, v)
}
