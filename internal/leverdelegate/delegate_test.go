package leverdelegate_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverdelegate"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermember"
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

type handlerFunc func(r *leverpeer.Request) error

func (f handlerFunc) Serve(r *leverpeer.Request) error { return f(r) }

// reply is the runner's message to the VM that delegates a request.
type reply struct {
	Declined string              `msgpack:"d,omitempty"`
	Verdict  leverengine.Verdict `msgpack:"v"`
}

// newDelegate returns the delegate of a weak VM in a fleet of 12, whose strong
// VMs serve peers with h, and a function that stops them.
func newDelegate(h handlerFunc) (*leverdelegate.Delegate, func()) {
	n := &levertest.Network{}
	timer := &levertimer.Service{}
	var servers []*leverpeer.Server
	var list []levermsg.VM
	for i := range 12 {
		vm := levermsg.VM{ID: leverid.VMID(fmt.Sprint("vm", i)), Domain: "d", Peer: fmt.Sprint("vm", i), State: levermsg.Live, Power: 0.1}
		if i > 0 && i < 4 {
			vm.Power = 0.8
			s := &leverpeer.Server{Self: vm, Keys: leverpeer.NewKeys("key"), Hooks: noHooks{}, Timer: timer, Handler: h, Counters: &leverevent.Counters{}}
			n.Listen(vm.Peer, s.Accept)
			servers = append(servers, s)
		}
		list = append(list, vm)
	}
	members := levermember.NewView(list[0])
	members.SetList(list)
	peers := &leverpeer.Client{
		Self: list[0], Keys: leverpeer.NewKeys("key"), Hooks: noHooks{}, Timer: timer, Counters: &leverevent.Counters{},
		Dial: func(ctx context.Context, to string) (net.Conn, error) { return n.Dial(ctx, "vm0", to) },
	}
	d := &leverdelegate.Delegate{
		Self: list[0], Members: members, Peers: peers, Timer: timer, Log: leverlog.Logger{},
		Engine:   &leverengine.Engine{Timer: timer, Directory: &leverdirectory.Directory{}},
		Stopping: func() bool { return false }, Paused: func() bool { return false },
	}
	return d, func() {
		peers.Close()
		for _, s := range servers {
			s.Close()
		}
		time.Sleep(time.Minute)
	}
}

// TestMaybeRanAfterLostRunner delegates a request to runners that fail. Once a
// runner may have sent the request to upstreams, the outcome must say so.
func TestMaybeRanAfterLostRunner(t *testing.T) {
	errLost := errors.New("lost")
	cases := map[string]struct {
		handler  handlerFunc
		done     bool // the delegate returns an outcome
		maybeRan bool
		prior    int
	}{
		"lost after it accepted": {func(r *leverpeer.Request) error {
			if err := r.Reply(&reply{}, false); err != nil {
				return err
			}
			return errLost
		}, true, true, 0},
		"silent runners": {func(r *leverpeer.Request) error { <-r.Ctx.Done(); return nil }, true, true, 2},
		"all runners decline": {func(r *leverpeer.Request) error {
			return r.Reply(&reply{Declined: "stopping"}, true)
		}, false, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d, stop := newDelegate(c.handler)
				defer stop()
				req := &leverengine.Request{ID: "r", Received: time.Now(), CallerTimeout: time.Second}
				out, done := d.Run(t.Context(), req, 1, 2)
				is.Equal(done, c.done)
				is.Equal(req.PriorAttempts, c.prior)
				if done {
					is.Equal(out.Verdict, leverengine.MayHaveRun)
					is.Equal(out.MaybeRan, c.maybeRan)
				}
			})
		})
	}
}
