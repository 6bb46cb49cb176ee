// Package leverpeer carries messages between VMs: length-prefixed frames of
// msgpack over one TCP connection for each direction of each pair of VMs, with
// many calls in flight on it.
package leverpeer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Op says what a frame does.
type Op uint8

// The operations.
const (
	opHello Op = iota + 1
	opWelcome
	opRequest
	opReply
	opLastReply
	opError
	opSignal
	opCancel
	opPing
	opPong
	opEnd
)

// Kind names the message that a request carries.
type Kind uint8

// The kinds of request. A number is part of the protocol and is never reused.
const (
	KindClaim   Kind = 2
	KindRelease Kind = 3
	KindStatus  Kind = 6
	KindFollow  Kind = 8
	KindRun     Kind = 9
	KindPing    Kind = 10
	KindCrashes Kind = 11
	KindCall    Kind = 12
)

// CallID numbers the calls of one connection.
type CallID uint64

// Frame is the unit of transfer.
type Frame struct {
	//lint:ignore U1000 the codec reads this field by reflection
	_msgpack struct{} `msgpack:",as_array"`

	Op   Op
	Kind Kind
	Call CallID
	// Stamp is the sender's clock, for the merged time line.
	Stamp leverevent.Stamp
	// Config is the newest configuration that the sender has.
	Config leverid.ConfigVersion
	// Leaving says that the sender is stopping.
	Leaving bool
	Body    []byte
}

const (
	// MaxFrame bounds a frame in bytes.
	MaxFrame = 16 << 20
	// maxHello bounds the first frame of a connection, which comes before the
	// peer has shown its key.
	maxHello = 4 << 10
	// lengthBytes is the size of the length before each frame.
	lengthBytes = 4
)

// ErrFrame means that the bytes are not a frame. The connection is closed.
const ErrFrame = errors.ConstError("malformed frame")

// AppendFrame appends the encoded frame to b.
func AppendFrame(b []byte, f *Frame) ([]byte, error) {
	body, err := msgpack.Marshal(f)
	if err != nil {
		return b, errors.Annotate(err, "encode frame")
	}
	if len(body) > MaxFrame {
		return b, errors.Annotatef(ErrFrame, "%d bytes to send", len(body))
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	return append(b, body...), nil
}

// ReadFrame reads one frame of at most limit bytes. Any fault of the bytes is
// an ErrFrame; a fault of the connection is returned as it is.
func ReadFrame(r *bufio.Reader, limit int) (*Frame, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n == 0 || n > limit {
		return nil, errors.Annotatef(ErrFrame, "length %d of at most %d", n, limit)
	}
	body, err := readBody(r, n)
	if err != nil {
		return nil, err
	}
	return decodeFrame(body)
}

// readBody grows the buffer as bytes arrive, so that a false length costs no
// memory.
func readBody(r io.Reader, n int) ([]byte, error) {
	const firstGrow = 64 << 10
	var buf bytes.Buffer
	buf.Grow(min(n, firstGrow))
	m, err := io.CopyN(&buf, r, int64(n))
	if err == io.EOF && m < int64(n) {
		err = io.ErrUnexpectedEOF
	}
	return buf.Bytes(), err
}

func decodeFrame(body []byte) (f *Frame, err error) {
	defer func() {
		if p := recover(); p != nil {
			f, err = nil, errors.Annotatef(ErrFrame, "decode: %v", p)
		}
	}()
	f = new(Frame)
	if err := msgpack.Unmarshal(body, f); err != nil {
		return nil, errors.Annotate(ErrFrame, err.Error())
	}
	if f.Op < opHello || f.Op >= opEnd {
		return nil, errors.Annotatef(ErrFrame, "operation %d", f.Op)
	}
	return f, nil
}

// Decode reads a message from a frame's body. A fault of the bytes is an
// ErrFrame.
func Decode(body []byte, v any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Annotatef(ErrFrame, "decode: %v", p)
		}
	}()
	if err := msgpack.Unmarshal(body, v); err != nil {
		return errors.Annotate(ErrFrame, err.Error())
	}
	return nil
}

// encode writes a message; a nil message is empty.
func encode(v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	b, err := msgpack.Marshal(v)
	return b, errors.Annotate(err, "encode message")
}
