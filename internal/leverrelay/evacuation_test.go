package leverrelay_test

import (
	"slices"
	"testing"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leverrelay"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

// evacuationRecorder records the evacuations that the callback received last.
type evacuationRecorder struct {
	*recorder
	domains []leverid.Domain
	calls   int
}

func newEvacuationRecorder() *evacuationRecorder {
	r := &evacuationRecorder{recorder: newRecorder()}
	r.OnEvacuations = func(domains []leverid.Domain) {
		slices.Sort(domains)
		r.domains = domains
		r.calls++
	}
	return r
}

func domains(names ...leverid.Domain) map[string]leverid.Domain {
	m := make(map[string]leverid.Domain)
	for _, d := range names {
		m[string(d)] = d
	}
	return m
}

// TestEvacuationsFollow checks that a child learns of evacuations and of their ends, and
// that a parent that lags, or knows none, reverts nothing.
func TestEvacuationsFollow(t *testing.T) {
	is := is.New(t)
	parent, child := newEvacuationRecorder(), newEvacuationRecorder()
	var pos leverrelay.FollowRequest
	transfer(parent.recorder, child.recorder, &pos)
	is.Equal(child.calls, 0) // the parent does not know them
	parent.SetEvacuations(domains(), 1)
	transfer(parent.recorder, child.recorder, &pos)
	is.Equal(child.calls, 1) // there are none
	parent.SetEvacuations(domains("a", "b"), 2)
	lagging, _ := parent.Since(0, 0)
	transfer(parent.recorder, child.recorder, &pos)
	is.Equal(child.domains, []leverid.Domain{"a", "b"})
	parent.SetEvacuations(domains("b"), 3)
	transfer(parent.recorder, child.recorder, &pos)
	is.Equal(child.domains, []leverid.Domain{"b"})
	child.Merge(lagging)
	is.Equal(child.domains, []leverid.Domain{"b"})
	unknowing, _ := newRecorder().Since(0, 0)
	child.Merge(unknowing)
	is.Equal(child.domains, []leverid.Domain{"b"})
	next := newEvacuationRecorder()
	next.Merge(lagging)
	var fresh leverrelay.FollowRequest
	transfer(child.recorder, next.recorder, &fresh)
	is.Equal(next.domains, []leverid.Domain{"b"})
}

// formerUpdate has the fields of the message of a build without evacuations.
type formerUpdate struct {
	Epoch     uint64                                    `msgpack:"e"`
	Seq       uint64                                    `msgpack:"q"`
	Reset     bool                                      `msgpack:"z"`
	Path      []leverid.VMID                            `msgpack:"p"`
	Upstreams leverrelay.Delta[leverdirectory.Upstream] `msgpack:"u"`
}

// TestFormerBuilds guards against VMs of a build without evacuations that can't read the
// messages of this one, or the other way round, and against a message that has grown
// where there are no evacuations.
func TestFormerBuilds(t *testing.T) {
	is := is.New(t)
	m := newEvacuationRecorder()
	m.SetUpstreams(upstreams("u"), 1)
	plain, _ := m.Since(0, 0)
	body, err := msgpack.Marshal(plain)
	is.NoErr(err)
	var fields map[string]any
	is.NoErr(msgpack.Unmarshal(body, &fields))
	_, sent := fields["x"]
	is.True(!sent)

	m.SetEvacuations(domains("a"), 2)
	u, _ := m.Since(0, 0)
	body, err = msgpack.Marshal(u)
	is.NoErr(err)
	var former formerUpdate
	is.NoErr(leverpeer.Decode(body, &former))
	is.Equal(former.Upstreams.Revision, leverfeed.Revision(1))
	is.Equal(former.Seq, u.Seq)

	body, err = msgpack.Marshal(&formerUpdate{Epoch: 5, Seq: 9, Reset: true, Upstreams: former.Upstreams})
	is.NoErr(err)
	u, err = leverrelay.DecodeUpdate(body)
	is.NoErr(err)
	m.Merge(u)
	is.Equal(m.domains, []leverid.Domain{"a"})
}
