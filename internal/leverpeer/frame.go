// Package leverpeer is the RPC protocol between VMs: length-prefixed msgpack
// frames over one TCP connection per direction and pair of VMs, which
// multiplexes concurrent calls.
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

// Op is the operation of a frame.
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
	// opEnd is one past the last operation.
	opEnd
)

// Kind is the type of a request's message.
type Kind uint8

// The kinds of request. The numbers are part of the protocol and are never
// reused.
const (
	// KindClaim and KindRelease claim and release the id of a request.
	KindClaim   Kind = 2
	KindRelease Kind = 3
	// KindStatus asks for the status of the VM.
	KindStatus Kind = 6
	// KindFollow subscribes to the updates of the VM as parent.
	KindFollow Kind = 8
	// KindRun hands a caller's request over to the VM.
	KindRun Kind = 9
	// KindPing tests whether the VM responds. opPing in contrast belongs to the
	// connection and never reaches a Handler.
	KindPing Kind = 10
	// KindCrashes reports upstream crashes.
	KindCrashes Kind = 11
	// KindCall asks the VM to call an upstream. Type Call in contrast is a
	// request of any kind.
	KindCall Kind = 12
	// KindBranch asks the VM to run parts of a fan-out.
	KindBranch Kind = 13
	// KindOffer offers the VM to follow the sender, which watches the store.
	KindOffer Kind = 14
	// KindAllowance lends votes and asks for tokens of allowances.
	KindAllowance Kind = 15
)

// CallID identifies a call within its connection.
type CallID uint64

// Frame is one message of the protocol.
type Frame struct {
	//lint:ignore U1000 the codec reads this field by reflection
	_msgpack struct{} `msgpack:",as_array"`

	Op   Op
	Kind Kind
	Call CallID
	// Stamp is the sender's clock, used to merge the timelines of VMs.
	Stamp leverevent.Stamp
	// Config is the newest configuration version that the sender has.
	Config leverid.ConfigVersion
	// Leaving is set while the sender is stopping.
	Leaving bool
	Body    []byte
}

const (
	// MaxFrameBytes is the maximum size of a frame in bytes.
	MaxFrameBytes = 16 << 20
	// maxHelloBytes is the maximum size of a handshake frame, which is read
	// before the peer is authenticated.
	maxHelloBytes = 4 << 10
	// lengthPrefixBytes is the size of the big-endian length before each frame.
	lengthPrefixBytes = 4
)

// ErrFrame means that received bytes are not a valid frame or message, or that
// a frame to send is too large. A connection that receives an invalid frame is
// closed.
const ErrFrame = errors.ConstError("malformed frame")

// AppendFrame appends f's length prefix and msgpack body to b.
func AppendFrame(b []byte, f *Frame) ([]byte, error) {
	body, err := msgpack.Marshal(f)
	if err != nil {
		return b, errors.Annotate(err, "encode frame")
	}
	if len(body) > MaxFrameBytes {
		return b, errors.Annotatef(ErrFrame, "frame of %d bytes is too large to send", len(body))
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	return append(b, body...), nil
}

// ReadFrame reads one frame of at most limit bytes. Invalid bytes give an
// ErrFrame; errors of the reader are returned unchanged.
func ReadFrame(r *bufio.Reader, limit int) (*Frame, error) {
	var prefix [lengthPrefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(prefix[:]))
	if n == 0 || n > limit {
		return nil, errors.Annotatef(ErrFrame, "frame length %d (at most %d)", n, limit)
	}
	body, err := readBody(r, n)
	if err != nil {
		return nil, err
	}
	return decodeFrame(body)
}

// readBody grows the buffer as bytes arrive, so that a false length does not
// allocate memory.
func readBody(r io.Reader, n int) ([]byte, error) {
	const initialBytes = 64 << 10
	var buf bytes.Buffer
	buf.Grow(min(n, initialBytes))
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
		return nil, errors.Annotatef(ErrFrame, "unknown operation %d", f.Op)
	}
	return f, nil
}

// Decode decodes a message from a frame's body. Invalid bytes give an ErrFrame.
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

// encode encodes a message. A nil message has an empty body.
func encode(v any) ([]byte, error) {
	if v == nil {
		return nil, nil
	}
	b, err := msgpack.Marshal(v)
	return b, errors.Annotate(err, "encode message")
}
