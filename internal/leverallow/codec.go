package leverallow

import (
	"math"

	"arbutuslever.dev/lever/internal/leverid"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// maxItems bounds the asks, hints and grants of one message.
const maxItems = 1 << 16

// codec encodes or decodes a message field by field, with integers in as few bytes as
// they need: these messages are most of a VM's control traffic. The order of the fields
// is part of the protocol. The first error is kept.
type codec struct {
	enc *msgpack.Encoder
	dec *msgpack.Decoder
	err error
}

// number encodes or decodes one integer.
func number[T ~uint8 | ~uint16 | ~uint32 | ~uint64 | ~int64](c *codec, v *T) {
	if c.err != nil {
		return
	}
	if c.enc != nil {
		c.err = c.enc.EncodeUint(uint64(*v))
		return
	}
	n, err := c.dec.DecodeUint64()
	if *v = T(n); err == nil && uint64(*v) != n {
		err = errors.NotValidf("number %d", n)
	}
	c.err = err
}

func text[T ~string](c *codec, v *T) {
	if c.err != nil {
		return
	}
	if c.enc != nil {
		c.err = c.enc.EncodeString(string(*v))
		return
	}
	var s string
	s, c.err = c.dec.DecodeString()
	*v = T(s)
}

func (c *codec) float(v *float64) {
	if c.err != nil {
		return
	}
	if c.enc != nil {
		c.err = c.enc.EncodeFloat64(*v)
		return
	}
	if *v, c.err = c.dec.DecodeFloat64(); c.err == nil && (math.IsNaN(*v) || *v < 0) {
		c.err = errors.NotValidf("number %g", *v)
	}
}

func (c *codec) bytes(v *[]byte) {
	if c.err != nil {
		return
	}
	if c.enc != nil {
		c.err = c.enc.EncodeBytes(*v)
		return
	}
	*v, c.err = c.dec.DecodeBytes()
}

func (c *codec) flag(v *bool) {
	var n uint8
	if *v {
		n = 1
	}
	number(c, &n)
	*v = n != 0
}

// list encodes or decodes the items of a list by f.
func list[T any](c *codec, items *[]T, f func(*T)) {
	n := uint32(len(*items))
	number(c, &n)
	if c.dec != nil && c.err == nil && n > maxItems {
		c.err = errors.NotValidf("list of %d items", n)
	}
	for i := 0; i < int(n) && c.err == nil; i++ {
		if c.dec != nil {
			var item T
			*items = append(*items, item)
		}
		f(&(*items)[i])
	}
}

func (m *Message) code(c *codec) error {
	number(c, &m.Boot)
	number(c, &m.Seq)
	number(c, &m.EchoBoot)
	number(c, &m.Echo)
	number(c, &m.Groups)
	for _, s := range []*GroupSet{&m.Lend, &m.First, &m.Gift, &m.Release} {
		number(c, s)
	}
	number(c, &m.Listed)
	c.flag(&m.Unconfirmed)
	list(c, &m.Asks, func(a *Ask) {
		text(c, &a.Organisation)
		number(c, &a.Need)
		number(c, &a.Spare)
		number(c, &a.Returned)
		number(c, &a.Version)
		c.float(&a.Rate)
		c.float(&a.Burst)
	})
	return c.err
}

func (r *Reply) code(c *codec) error {
	number(c, &r.Boot)
	number(c, &r.Stamp)
	number(c, &r.Seq)
	c.bytes(&r.Sums)
	list(c, &r.Hints, func(h *Hint) {
		number(c, &h.Group)
		text[leverid.VMID](c, &h.Manager)
	})
	c.flag(&r.Late)
	list(c, &r.Grants, func(g *Grant) {
		text(c, &g.Organisation)
		number(c, &g.Granted)
		c.flag(&g.Undecided)
		number(c, &g.WaitMicros)
		number(c, &g.StepMicros)
	})
	return c.err
}

// EncodeMsgpack encodes the message.
func (m *Message) EncodeMsgpack(e *msgpack.Encoder) error { return m.code(&codec{enc: e}) }

// DecodeMsgpack decodes the message.
func (m *Message) DecodeMsgpack(d *msgpack.Decoder) error { return m.code(&codec{dec: d}) }

// EncodeMsgpack encodes the reply.
func (r *Reply) EncodeMsgpack(e *msgpack.Encoder) error { return r.code(&codec{enc: e}) }

// DecodeMsgpack decodes the reply.
func (r *Reply) DecodeMsgpack(d *msgpack.Decoder) error { return r.code(&codec{dec: d}) }
