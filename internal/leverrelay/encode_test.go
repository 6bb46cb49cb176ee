package leverrelay_test

import (
	"fmt"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverrelay"

	"github.com/klauspost/compress/zstd"
	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

// manyUpstreams returns the entries of a large fleet's upstreams.
func manyUpstreams(n int) map[string]leverdirectory.Upstream {
	m := make(map[string]leverdirectory.Upstream)
	for i := range n {
		id := leverid.UpstreamID(fmt.Sprintf("i-%08x", i*2654435761))
		m[string(id)] = leverdirectory.Upstream{ID: id, Service: leverid.ServiceID(fmt.Sprint("s", i/3)), Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250), Domain: "a", Slots: 3}
	}
	return m
}

// TestEncodedUpdates sends updates of a large fleet as messages. Children at the
// same position share one message, which is compressed for those that accept it.
func TestEncodedUpdates(t *testing.T) {
	is := is.New(t)
	parent := newRecorder()
	parent.SetUpstreams(manyUpstreams(1400), 1)
	plain, _, _, err := parent.Encoded(leverrelay.FollowRequest{})
	is.NoErr(err)
	packed, next, _, err := parent.Encoded(leverrelay.FollowRequest{Packed: true})
	is.NoErr(err)
	is.True(len(packed)*4 < len(plain)) // compressed
	again, _, _, err := parent.Encoded(leverrelay.FollowRequest{Packed: true})
	is.NoErr(err)
	is.True(&again[0] == &packed[0]) // not encoded again
	for _, body := range [][]byte{plain, packed} {
		child := newRecorder()
		u, err := leverrelay.DecodeUpdate(body)
		is.NoErr(err)
		child.Merge(u)
		is.Equal(len(child.upstreams), 1400)
	}

	parent.SetConfigs(configs(7), 2)
	change, after, _, err := parent.Encoded(next)
	is.NoErr(err)
	u, err := leverrelay.DecodeUpdate(change)
	is.NoErr(err)
	is.True(!u.Reset)
	is.Equal(len(u.Configs.Items), 1)
	is.True(after.Seq > next.Seq && after.Packed)
	parent.SetPath([]leverid.VMID{"a"})
	body, _, _, err := parent.Encoded(after)
	is.NoErr(err)
	u, err = leverrelay.DecodeUpdate(body)
	is.NoErr(err)
	is.Equal(u.Path, []leverid.VMID{"a"}) // not the message from before
}

// TestEncodedCrashesAge checks that crash levels are encoded anew each time,
// because their remaining time passes.
func TestEncodedCrashesAge(t *testing.T) {
	is := is.New(t)
	m := newRecorder()
	m.AddCrashes([]levercrash.Entry{{Fingerprint: 1, Level: levercrash.Barred, Until: time.Now().Add(time.Minute)}})
	first, _, _, err := m.Encoded(leverrelay.FollowRequest{})
	is.NoErr(err)
	second, _, _, err := m.Encoded(leverrelay.FollowRequest{})
	is.NoErr(err)
	is.True(&first[0] != &second[0])
}

// TestUnpackIsBounded decodes an update that is far larger after decompression.
func TestUnpackIsBounded(t *testing.T) {
	is := is.New(t)
	z, err := zstd.NewWriter(nil)
	is.NoErr(err)
	body, err := msgpack.Marshal(&leverrelay.Update{Packed: z.EncodeAll(make([]byte, 200<<20), nil)})
	is.NoErr(err)
	_, err = leverrelay.DecodeUpdate(body)
	is.True(err != nil)
}

func FuzzDecodeUpdate(f *testing.F) {
	m := newRecorder()
	m.SetUpstreams(manyUpstreams(100), 1)
	for _, packed := range []bool{false, true} {
		body, _, _, err := m.Encoded(leverrelay.FollowRequest{Packed: packed})
		if err != nil {
			f.Fatal(err)
		}
		f.Add([]byte(body))
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		u, err := leverrelay.DecodeUpdate(body)
		if err == nil {
			newRecorder().Merge(u)
		}
	})
}
