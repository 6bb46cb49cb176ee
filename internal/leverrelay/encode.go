package leverrelay

import (
	"slices"
	"sync"

	"arbutuslever.dev/lever/internal/leverpeer"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// minPackedBytes is the size of an update, in bytes, from which it is
	// compressed.
	minPackedBytes = 4 << 10
	// maxUnpackedBytes bounds the size of an update after decompression.
	maxUnpackedBytes = 64 << 20
	// packWindowBytes bounds the memory of the compressor. It fits the complete
	// collections of some thousand upstreams.
	packWindowBytes = 512 << 10
	// maxEncoded is the number of encoded updates that are kept. Most children are
	// at the same position.
	maxEncoded = 4
)

// encoding is an encoded update for all children at one position.
type encoding struct {
	from   FollowRequest
	seq    uint64
	pathID uint64
	body   msgpack.RawMessage
	next   FollowRequest
}

// encoder keeps the last encoded updates of a Mirror, so that an update for many
// children is encoded once. The zero value is ready to use.
type encoder struct {
	mu   sync.Mutex
	last []encoding
}

// Encoded returns the update for a child at the position from as a message, the
// child's position after it, and a channel that is closed at the next change.
func (m *Mirror) Encoded(from FollowRequest) (body msgpack.RawMessage, next FollowRequest, changed <-chan struct{}, err error) {
	e := &m.encoder
	e.mu.Lock()
	defer e.mu.Unlock()
	m.mu.Lock()
	seq, pathID, changed := m.seq, m.pathID, m.changed
	m.mu.Unlock()
	for _, old := range e.last {
		if old.from == from && old.seq == seq && old.pathID == pathID {
			return old.body, old.next, changed, nil
		}
	}
	u, changed := m.Since(from.Epoch, from.Seq)
	next = FollowRequest{Epoch: u.Epoch, Seq: u.Seq, Packed: from.Packed}
	if body, err = encodeUpdate(u, from.Packed); err != nil {
		return nil, next, changed, err
	}
	// The ages of crash levels hold for the moment only.
	if len(u.Crashes)+len(u.Noted) == 0 && u.Seq == seq {
		e.last = append(e.last, encoding{from: from, seq: seq, pathID: pathID, body: body, next: next})
		e.last = slices.Delete(e.last, 0, max(len(e.last)-maxEncoded, 0))
	}
	return body, next, changed, nil
}

// encodeUpdate encodes an update, compressed if it is large and packed is set.
func encodeUpdate(u *Update, packed bool) (msgpack.RawMessage, error) {
	body, err := msgpack.Marshal(u)
	if err != nil || !packed || len(body) < minPackedBytes {
		return body, errors.Annotate(err, "encode update")
	}
	z, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(packWindowBytes))
	if err != nil {
		return nil, errors.Annotate(err, "compress update")
	}
	defer z.Close()
	return msgpack.Marshal(&Update{Packed: z.EncodeAll(body, nil)})
}

// DecodeUpdate decodes an update from a message.
func DecodeUpdate(body []byte) (*Update, error) {
	u := &Update{}
	if err := leverpeer.Decode(body, u); err != nil || u.Packed == nil {
		return u, err
	}
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpackedBytes), zstd.WithDecoderLowmem(true))
	if err != nil {
		return nil, errors.Annotate(err, "decompress update")
	}
	defer z.Close()
	raw, err := z.DecodeAll(u.Packed, nil)
	if err != nil {
		return nil, errors.Annotatef(leverpeer.ErrFrame, "decompress update of %d bytes: %v", len(u.Packed), err)
	}
	inner := &Update{}
	return inner, leverpeer.Decode(raw, inner)
}
