package leverallow_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverallow"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermember"
	"arbutuslever.dev/lever/internal/levermetric"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/levertest"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/matryer/is"
)

// testFleet is a fleet of VMs with nothing but allowances, on a simulated network.
type testFleet struct {
	net    *levertest.Network
	list   []levermsg.VM
	vms    []*testVM
	config *leverdirectory.Config
	// paused is what the pause detectors of all VMs report.
	paused atomic.Bool

	mu  sync.Mutex
	log bytes.Buffer
}

// Write appends to the common log of all VMs.
func (f *testFleet) Write(b []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.log.Write(b)
}

func (f *testFleet) logged(text string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Count(f.log.String(), text)
}

type testVM struct {
	fleet     *testFleet
	self      levermsg.VM
	members   *levermember.View
	timer     levertimer.Service
	client    *leverpeer.Client
	server    *leverpeer.Server
	allowance *leverallow.Allowance
	metrics   levermetric.Set
	stop      context.CancelFunc
}

func (vm *testVM) LocalInfo() leverpeer.SenderInfo { return leverpeer.SenderInfo{} }
func (vm *testVM) FrameReceived(o levermsg.VM, _ leverpeer.SenderInfo) {
	vm.members.MarkUp(o.ID)
}
func (vm *testVM) PeerUnreachable(id leverid.VMID, _ error) { vm.members.MarkDown(id, vm.timer.Now()) }
func (vm *testVM) Serve(r *leverpeer.Request) error         { return vm.allowance.Serve(r) }

var organisation = leverdirectory.Organisation{Name: "org", Rate: 10, Burst: 10}

func newTestFleet(vms int, o leverdirectory.Organisation) *testFleet {
	f := &testFleet{net: &levertest.Network{Delay: func(string, string) time.Duration { return time.Millisecond }}}
	f.config = &leverdirectory.Config{Version: 1, Organisations: []leverdirectory.Organisation{o}}
	for i := range vms {
		id := fmt.Sprint("vm", i)
		f.list = append(f.list, levermsg.VM{ID: leverid.VMID(id), Peer: id, State: levermsg.Live})
	}
	for _, self := range f.list {
		vm := &testVM{fleet: f, self: self}
		vm.start()
		f.vms = append(f.vms, vm)
	}
	return f
}

func (vm *testVM) start() {
	f := vm.fleet
	vm.members = levermember.NewView(vm.self)
	vm.members.SetList(f.list)
	keys, counters := leverpeer.NewKeys("key"), &leverevent.Counters{}
	vm.client = &leverpeer.Client{Self: vm.self, Keys: keys, Hooks: vm, Timer: &vm.timer, Counters: counters, Dial: func(ctx context.Context, to string) (net.Conn, error) {
		return f.net.Dial(ctx, string(vm.self.ID), to)
	}}
	vm.server = &leverpeer.Server{Self: vm.self, Keys: keys, Hooks: vm, Timer: &vm.timer, Handler: vm, Counters: counters}
	f.net.Listen(vm.self.Peer, vm.server.Accept)
	vm.allowance = leverallow.New(leverallow.Options{
		Terms: leverallow.Terms{Window: 5 * time.Second, Excess: 0.1, Slack: 20}, Self: vm.self.ID, Peers: vm.client, Find: vm.members.Find,
		Fleet: vm.known, Config: func() *leverdirectory.Config { return f.config }, Paused: func() bool { return f.paused.Load() },
		Timer: &vm.timer, Log: leverlog.New(f, "info", string(vm.self.ID)).For("allowance"), Metrics: &vm.metrics,
	})
	ctx, stop := context.WithCancel(context.Background())
	vm.stop = stop
	go vm.allowance.Run(ctx)
}

func (vm *testVM) known() leverallow.Fleet {
	f := leverallow.Fleet{Listed: len(vm.fleet.list), Current: true, WasListed: true}
	for _, o := range vm.members.Live(vm.timer.Now()) {
		f.Ranked = append(f.Ranked, o.ID)
	}
	for _, o := range vm.fleet.list {
		f.List = append(f.List, o.ID)
	}
	return f
}

func (vm *testVM) kill() {
	vm.stop()
	vm.fleet.net.Kill(vm.self.Peer)
	vm.client.Close()
	vm.server.Close()
}

func (f *testFleet) close() {
	for _, vm := range f.vms {
		vm.kill()
	}
	time.Sleep(time.Minute)
}

// take takes n requests at a VM one after the other and returns how many were granted,
// the last decision and the longest wait.
func (vm *testVM) take(n int) (granted int, last leverengine.AllowanceDecision, longest time.Duration) {
	for range n {
		began := time.Now()
		last = vm.allowance.Take(context.Background(), &organisation)
		longest = max(longest, time.Since(began))
		if last.Granted {
			granted++
		}
	}
	return granted, last, longest
}

// TestTakeOverTheNetwork takes requests at all VMs of a fleet, one of which manages the
// organisation. Each costs at most one round trip, and the one over the limit is refused
// with a time at which there is a token.
func TestTakeOverTheNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(9, organisation)
		defer f.close()
		time.Sleep(10 * time.Second)
		total, refusedBy := 0, (*testVM)(nil)
		var refusal leverengine.AllowanceDecision
		for i := 0; refusedBy == nil; i++ {
			vm := f.vms[i%9]
			granted, d, wait := vm.take(1)
			is.True(wait <= 3*time.Millisecond)
			total += granted
			if !d.Granted {
				refusal, refusedBy = d, vm
			}
		}
		is.True(total >= 22 && total <= 24) // the burst and 0.6 of the slack
		is.True(!refusal.Undecided && refusal.RetryAfter >= 5*time.Millisecond && refusal.RetryAfter <= 100*time.Millisecond)
		time.Sleep(refusal.RetryAfter)
		granted, _, _ := refusedBy.take(1)
		is.Equal(granted, 1)
		is.Equal(f.logged("this VM manages a group"), 3)
		is.Equal(f.logged("no manager"), 0)
	})
}

// TestTakeAfterManagerLost kills the VM that manages the organisation. Requests are
// refused as undecided within 30 ms, and granted again after a lease.
func TestTakeAfterManagerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(9, organisation)
		defer f.close()
		time.Sleep(10 * time.Second)
		vm := f.vms[8]
		// The manager takes requests without a message.
		manager := slices.IndexFunc(f.vms, func(vm *testVM) bool { _, _, wait := vm.take(1); return wait == 0 })
		is.True(manager >= 0 && manager < 3) // one of the first by rank
		f.vms[manager].kill()
		_, d, wait := vm.take(1)
		is.True(d.Granted || d.Undecided)
		is.True(wait <= 30*time.Millisecond)
		_, d, _ = vm.take(3) // beyond what is granted without a manager
		is.True(d.Undecided && d.RetryAfter > 0)
		time.Sleep(900 * time.Millisecond)
		granted, _, _ := vm.take(2)
		is.Equal(granted, 2)
		time.Sleep(time.Second)
		granted, _, _ = vm.take(1)
		is.Equal(granted, 1)
		is.Equal(f.logged("no manager of allowances answers"), 1)
		is.Equal(f.logged("answers again"), 1)
	})
}

// TestPauseDropsTokensAndVotes has the pause detectors report a pause: the steady clock
// may not have counted it, so that no token and no vote from before it may be used.
func TestPauseDropsTokensAndVotes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(3, organisation)
		defer f.close()
		time.Sleep(10 * time.Second)
		f.vms[0].allowance.Return(&organisation)
		f.paused.Store(true)
		granted := 0
		for _, vm := range f.vms {
			n, d, _ := vm.take(1)
			is.True(d.Undecided || d.Granted)
			granted += n
		}
		is.True(granted <= 2) // those without a manager
		f.paused.Store(false)
		time.Sleep(2 * time.Second)
		granted, _, _ = f.vms[1].take(1)
		is.Equal(granted, 1)
	})
}

// TestOffWithoutLimits has a configuration without limits. No message is sent.
func TestOffWithoutLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newTestFleet(3, leverdirectory.Organisation{Name: "org"})
		defer f.close()
		time.Sleep(10 * time.Second)
		granted, _, _ := f.vms[0].take(1000)
		is.Equal(granted, 1000)
		for _, vm := range f.vms {
			is.Equal(vm.client.Connections(), 0)
		}
	})
}

// BenchmarkExchange measures a message that renews votes and its reply over loopback TCP,
// both sides together. A VM has about ten of them a second.
func BenchmarkExchange(b *testing.B) {
	f := &testFleet{net: &levertest.Network{}, config: &leverdirectory.Config{Version: 1}, list: []levermsg.VM{{ID: "vm0"}, {ID: "vm1"}}}
	vm := &testVM{fleet: f, self: f.list[0]}
	vm.start()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go vm.server.Run(ln)
	var timer levertimer.Service
	c := &leverpeer.Client{Self: f.list[1], Keys: leverpeer.NewKeys("key"), Hooks: vm, Timer: &timer, Counters: &leverevent.Counters{}}
	to := levermsg.VM{ID: "vm0", Peer: ln.Addr().String()}
	m := &leverallow.Message{Boot: 1 << 31, EchoBoot: 1 << 31, Groups: 3, Listed: 73}
	for b.Loop() {
		m.Seq++
		var r leverallow.Reply
		if err := c.Invoke(context.Background(), to, leverpeer.KindAllowance, m, &r); err != nil {
			b.Fatal(err)
		}
	}
	c.Close()
	_ = ln.Close()
	vm.kill()
}
