package leverbranch_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/levertest"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/matryer/is"
)

type noHooks struct{}

func (noHooks) LocalInfo() leverpeer.SenderInfo                 { return leverpeer.SenderInfo{} }
func (noHooks) FrameReceived(levermsg.VM, leverpeer.SenderInfo) {}
func (noHooks) PeerUnreachable(leverid.VMID, error)             {}

// TestServeDeclines asks a VM to run a branch that it can't run, or whose age it
// can't know after a pause. It must decline before it makes any call.
func TestServeDeclines(t *testing.T) {
	cases := map[string]struct {
		paused, stopping bool
		hash             uint64
		want             string
	}{
		"after a pause": {paused: true, want: "was paused"},
		"stopping":      {stopping: true, want: "stopping"},
		"other shards":  {hash: 1, want: "other shards"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				list := vms(group{12, "a", 0.12})
				b, route := branches(list, 180, "a")
				b.Stopping, b.Paused = func() bool { return c.stopping }, func() bool { return c.paused }
				n := &levertest.Network{}
				timer := &levertimer.Service{}
				server := &leverpeer.Server{Self: b.Self, Keys: leverpeer.NewKeys("key"), Hooks: noHooks{}, Timer: timer, Handler: b, Counters: &leverevent.Counters{}}
				n.Listen("b", server.Accept)
				peers := &leverpeer.Client{
					Self: levermsg.VM{ID: "x"}, Keys: leverpeer.NewKeys("key"), Hooks: noHooks{}, Timer: timer, Counters: &leverevent.Counters{},
					Dial: func(ctx context.Context, to string) (net.Conn, error) { return n.Dial(ctx, "x", to) },
				}
				sender, _ := branches(list, 180, "a")
				sender.Peers, sender.Self = peers, levermsg.VM{ID: "x", Power: 0.1}
				target := b.Self
				target.Peer = "b"
				events := make(chan leverengine.BranchEvent, 8)
				hash := route.ShardsHash() + c.hash
				sender.Start(&leverengine.BranchRequest{
					Request:    &leverengine.Request{ID: "r", Method: http.MethodGet, Host: "h", Path: "/", Received: time.Now(), CallerTimeout: time.Second},
					ShardsHash: hash, ReportAt: time.Now().Add(50 * time.Millisecond),
				}, []leverengine.Branch{{VM: target, Parts: []int{1, 2}}}, func(ev leverengine.BranchEvent) { events <- ev })
				ev := <-events
				is.True(ev.Err != nil && strings.Contains(fmt.Sprint(ev.Err), c.want))
				is.True(!ev.MayHaveStarted)
				peers.Close()
				server.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}
