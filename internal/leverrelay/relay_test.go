package leverrelay_test

import (
	"fmt"
	"testing"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverrelay"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// recorder is a copy of the store that records what its callbacks received last.
type recorder struct {
	*leverrelay.Mirror
	config    leverid.ConfigVersion
	upstreams map[leverid.UpstreamID]bool
}

func newRecorder() *recorder {
	r := &recorder{Mirror: leverrelay.NewMirror()}
	r.OnConfigs = func(list []*leverdirectory.Config) {
		for _, c := range list {
			r.config = c.Version
		}
	}
	r.OnUpstreams = func(list []leverdirectory.Upstream) {
		r.upstreams = make(map[leverid.UpstreamID]bool)
		for _, u := range list {
			r.upstreams[u.ID] = true
		}
	}
	r.OnVMs = func([]levermsg.VM) {}
	r.OnCrashes = func(e []levercrash.Entry) []levercrash.Entry { return e }
	return r
}

func upstreams(ids ...leverid.UpstreamID) map[string]leverdirectory.Upstream {
	m := make(map[string]leverdirectory.Upstream)
	for _, id := range ids {
		m[string(id)] = leverdirectory.Upstream{ID: id}
	}
	return m
}

func configs(v leverid.ConfigVersion) map[string]*leverdirectory.Config {
	return map[string]*leverdirectory.Config{"main": {Version: v}}
}

// TestChildFollows checks that a child that receives only changes ends in the
// parent's state, and that an update from a parent that lags does not revert it.
func TestChildFollows(t *testing.T) {
	is := is.New(t)
	parent, child := newRecorder(), newRecorder()
	parent.SetConfigs(configs(1), 1)
	parent.SetUpstreams(upstreams("a", "b"), 1)
	u, _ := parent.Since(0, 0)
	child.Merge(u)
	is.Equal(child.config, leverid.ConfigVersion(1))
	is.Equal(len(child.upstreams), 2)

	old, _ := parent.Since(0, 0)
	parent.SetUpstreams(upstreams("b", "c"), 3)
	parent.SetConfigs(configs(4), 4)
	next, _ := parent.Since(u.Epoch, u.Seq)
	is.True(!next.Reset)
	is.Equal(len(next.Upstreams.Items), 2) // a was deleted, c is new
	child.Merge(next)
	is.Equal(child.upstreams, map[leverid.UpstreamID]bool{"b": true, "c": true})
	is.Equal(child.config, leverid.ConfigVersion(4))

	child.Merge(old) // as from a parent that lags
	is.Equal(child.upstreams, map[leverid.UpstreamID]bool{"b": true, "c": true})
	is.Equal(child.config, leverid.ConfigVersion(4))
}

// TestMirrorsAgree sends random changes of the store down a chain of VMs, each
// of which receives only some of the updates until the end. All must end with
// as many upstreams as the store.
func TestMirrorsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chain := []*recorder{newRecorder(), newRecorder(), newRecorder()}
		positions := make([]leverrelay.FollowRequest, len(chain))
		present := make(map[string]leverdirectory.Upstream)
		rev := leverfeed.Revision(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := leverid.UpstreamID(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id")))
			if rapid.Bool().Draw(t, "gone") {
				delete(present, string(id))
			} else {
				present[string(id)] = leverdirectory.Upstream{ID: id, Slots: rapid.IntRange(1, 3).Draw(t, "slots")}
			}
			rev++
			chain[0].SetUpstreams(present, rev)
			for i := 1; i < len(chain); i++ {
				if rapid.Bool().Draw(t, "pass") {
					transfer(chain[i-1], chain[i], &positions[i])
				}
			}
		}
		for i := 1; i < len(chain); i++ {
			transfer(chain[i-1], chain[i], &positions[i])
		}
		for _, r := range chain {
			if got := r.Upstreams(); len(got) != len(present) {
				t.Fatalf("%d upstreams, want %d", len(got), len(present))
			}
		}
	})
}

func transfer(from, to *recorder, pos *leverrelay.FollowRequest) {
	u, _ := from.Since(pos.Epoch, pos.Seq)
	to.Merge(u)
	pos.Epoch, pos.Seq = u.Epoch, u.Seq
}

func TestRanked(t *testing.T) {
	is := is.New(t)
	live := []levermsg.VM{{ID: "a", Power: 0.2}, {ID: "b", Power: 0.8}, {ID: "c", Power: 0.2}}
	ranked := leverrelay.Ranked(live)
	is.Equal(ranked[0].ID, leverid.VMID("b"))
	live[0], live[2] = live[2], live[0]
	is.Equal(leverrelay.Ranked(live), ranked) // the same whatever the input's order
}
