package leverhome_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverhome"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermember"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/leverrank"
	"arbutuslever.dev/lever/internal/levertest"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// fixture is one VM and one upstream that it is the home of.
type fixture struct {
	sender   leverhome.Sender
	upstream leverdirectory.Upstream
	results  chan string
	wg       sync.WaitGroup

	mu         sync.Mutex
	started    []string
	running    int
	maxRunning int
}

// handle serves a call in 10 ms and records the order and the concurrency.
func (f *fixture) handle(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	f.started = append(f.started, r.Header.Get("Name"))
	f.running++
	f.maxRunning = max(f.maxRunning, f.running)
	f.mu.Unlock()
	time.Sleep(10 * time.Millisecond)
	f.mu.Lock()
	f.running--
	f.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

// withFixture runs body in a synctest bubble with a fixture whose upstream has
// the given number of slots.
func withFixture(t *testing.T, slots int, body func(is *is.I, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := &levertest.Network{}
		f := &fixture{results: make(chan string, 1000)}
		f.upstream = leverdirectory.Upstream{ID: "u", Service: "s", Address: "u", Domain: "d", Slots: slots}
		server := &http.Server{Handler: http.HandlerFunc(f.handle), ReadHeaderTimeout: time.Minute}
		ln := network.Listener("u")
		f.wg.Go(func() { _ = server.Serve(ln) })
		pool := &leverpool.Pool{Dial: func(ctx context.Context, to string) (net.Conn, error) { return network.Dial(ctx, "vm", to) }}
		f.sender.Self, f.sender.Timer, f.sender.Pool = "vm", &levertimer.Service{}, pool
		f.sender.Members = levermember.NewView(levermsg.VM{ID: "vm", Domain: "d"})
		f.sender.RouteViaHomes = func() bool { return true }
		f.sender.Connections = func(leverid.ServiceID) int { return 10 }
		body(is.New(t), f)
		pool.Close()
		is.New(t).NoErr(server.Close())
		f.wg.Wait()
		// The bubble's clock stops when this function returns, so goroutines that
		// wait for a timer must end before.
		time.Sleep(time.Minute)
	})
}

// send sends a call. Its name and the kind of its result arrive on results.
func (f *fixture) send(name string, rank leverid.Rank, timeout time.Duration) leverengine.Exchange {
	header := http.Header{"Name": {name}}
	call := leverpool.NewCall(http.MethodPost, "/", "s", header, nil)
	t := leverpool.Target{
		Upstream: &f.upstream, Rank: rank, Floors: leverrank.Floors{0, 0.2, 0.1}, Deadline: time.Now().Add(timeout), MaxConnections: 10,
	}
	return f.sender.Send(t, call, func() http.Header { return nil }, func(*http.Response) error { return nil },
		func(_ *leverpool.Reply, err error) {
			kind := "ok"
			if err != nil {
				kind = err.Error()
			}
			for label, known := range map[string]error{"no-room": leverpool.ErrQueueRejected, "withdrawn": leverpool.ErrWithdrawn} {
				if errors.Is(err, known) {
					kind = label
				}
			}
			f.results <- name + " " + kind
		})
}

// TestSlots checks that an upstream gets at most as many concurrent calls as it
// has slots.
func TestSlots(t *testing.T) {
	withFixture(t, 2, func(is *is.I, f *fixture) {
		for i := range 5 {
			f.send(fmt.Sprint("bulk-", i), leverid.Bulk, time.Second)
		}
		for range 5 {
			<-f.results
		}
		is.Equal(f.maxRunning, 2)
	})
}

// TestRanks checks that an urgent call overtakes queued bulk calls.
func TestRanks(t *testing.T) {
	withFixture(t, 1, func(is *is.I, f *fixture) {
		for i := range 4 {
			f.send(fmt.Sprint("bulk-", i), leverid.Bulk, time.Second)
		}
		f.send("urgent", leverid.Urgent, time.Second)
		for range 5 {
			<-f.results
		}
		is.Equal(f.started[1], "urgent") // ahead of bulk calls queued earlier
	})
}

// TestLateCallIsRefused checks that a call is refused at once if no slot is
// expected within maxWaitFraction of the time to its deadline, and that the
// calls queued earlier still run.
func TestLateCallIsRefused(t *testing.T) {
	withFixture(t, 1, func(is *is.I, f *fixture) {
		for i := range 10 {
			f.send(fmt.Sprint("w-", i), leverid.Routine, time.Second)
		}
		f.send("late", leverid.Routine, 50*time.Millisecond)
		is.Equal(<-f.results, "late no-room")
		for range 10 {
			<-f.results
		}
		is.Equal(len(f.started), 10)
	})
}

// TestWithdrawnWorkNeverRuns checks that a call withdrawn from the queue is
// never sent.
func TestWithdrawnWorkNeverRuns(t *testing.T) {
	withFixture(t, 1, func(is *is.I, f *fixture) {
		f.send("first", leverid.Routine, time.Second)
		x := f.send("second", leverid.Routine, time.Second)
		is.True(x.Withdraw())
		is.Equal(<-f.results, "second withdrawn")
		is.Equal(<-f.results, "first ok")
		time.Sleep(time.Second)
		is.Equal(f.started, []string{"first"})
	})
}

// TestCanceledCallFreesItsSlot checks that canceling a running call lets the
// next one run.
func TestCanceledCallFreesItsSlot(t *testing.T) {
	withFixture(t, 1, func(is *is.I, f *fixture) {
		x := f.send("first", leverid.Routine, time.Second)
		time.Sleep(time.Millisecond)
		f.send("second", leverid.Routine, time.Second)
		x.Cancel()
		<-f.results
		is.Equal(<-f.results, "second ok")
	})
}
