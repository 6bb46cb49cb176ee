package levernode_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/leverallow"
	"arbutuslever.dev/lever/internal/leverbudget"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermetric"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/levernode"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/levertest"
	"arbutuslever.dev/lever/platform"
	"arbutuslever.dev/lever/platform/standin"

	"github.com/matryer/is"
)

// allowanceFleet is a fleet of nodes around a simulated platform whose configuration
// has one organisation with a limit of 10 per second and a burst of 10.
type allowanceFleet struct {
	*standin.Platform
	t     *testing.T
	net   *levertest.Network
	nodes []*levernode.Node
	sent  int
}

func newAllowanceFleet(t *testing.T, vms int) *allowanceFleet {
	f := &allowanceFleet{t: t, net: &levertest.Network{Delay: func(string, string) time.Duration { return 500 * time.Microsecond }}}
	p, err := standin.NewPlatform(1, func(name string) (net.Listener, string, error) {
		return f.net.Listener(name + ":80"), name + ":80", nil
	})
	if err != nil {
		t.Fatal(err)
	}
	f.Platform = p
	b, err := json.Marshal(p.Config)
	if err != nil {
		t.Fatal(err)
	}
	spec := make(map[string]any)
	if err := json.Unmarshal(b, &spec); err != nil {
		t.Fatal(err)
	}
	spec["version"] = 4
	spec["tenants"] = []map[string]any{{"name": "org", "apiKeys": []string{"key"}, "ratePerS": 10, "burst": 10}}
	if err := p.Store.Put("config", "main", spec); err != nil {
		t.Fatal(err)
	}
	f.nodes = make([]*levernode.Node, vms)
	for i := range f.nodes {
		f.start(i)
	}
	return f
}

func (f *allowanceFleet) start(i int) {
	ip := fmt.Sprintf("10.0.0.%d", i+1)
	dial := func(ctx context.Context, to string) (net.Conn, error) { return f.net.Dial(ctx, ip, to) }
	store := platform.NewStore(f.Address("store"), &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, to string) (net.Conn, error) { return dial(ctx, to) },
	}}, leverlog.Logger{})
	n := levernode.New(levernode.Options{
		Self:  levermsg.VM{ID: leverid.VMID(fmt.Sprint("vm", i)), Domain: "z", Peer: ip + ":82", State: levermsg.Live, Power: 0.4},
		Store: store, Protocol: platform.Protocol{}, PeerKeys: leverpeer.NewKeys("key"), Dial: dial, Metrics: &levermetric.Set{},
		Terms:          leverbudget.Terms{Ratio: standin.RetryRatio, Slack: standin.RetrySlack, Window: 10 * time.Second},
		AllowanceTerms: leverallow.Terms{Window: 5 * time.Second, Excess: 0.1, Slack: 20},
	})
	f.nodes[i] = n
	n.Start(f.net.Listener(ip + ":82"))
}

func (f *allowanceFleet) kill(i int) {
	f.net.Kill(fmt.Sprintf("10.0.0.%d:82", i+1))
	f.net.Kill(fmt.Sprintf("10.0.0.%d", i+1))
	f.nodes[i].Stop()
}

// send sends n requests to the VMs in turn and counts the outcomes.
func (f *allowanceFleet) send(n int) (passed, over, other int) {
	for range n {
		f.sent++
		out := f.nodes[f.sent%len(f.nodes)].Engine().Run(f.t.Context(), &leverengine.Request{
			ID: leverid.RequestID(fmt.Sprint("id", f.sent)), Method: http.MethodGet, Host: standin.Host, URI: "/one/1", Path: "/one/1",
			Header: http.Header{"X-Request-Id": {fmt.Sprint("id", f.sent)}}, CallerTimeout: time.Second, Received: time.Now(), Key: leverdirectory.DigestKey("key"),
		})
		switch out.Verdict {
		case leverengine.Passed:
			passed++
		case leverengine.OverAllowance:
			over++
		default:
			other++
			f.t.Log(out.Verdict, out.Reason)
		}
	}
	return passed, over, other
}

// TestAllowanceOfFleet has an organisation use up its allowance through all VMs, which
// are then killed at once. They serve it again within two seconds of their start, at
// most as many as the bound permits.
func TestAllowanceOfFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newAllowanceFleet(t, 6)
		time.Sleep(9 * time.Second)
		began := time.Now()
		passed, over, other := f.send(60)
		t.Log("passed", passed, "over", over, "other", other, "in", time.Since(began))
		is.Equal(other, 0)
		is.True(passed >= 22 && float64(passed) <= 23+10*time.Since(began).Seconds())
		is.True(over > 0)
		for i := range f.nodes {
			f.kill(i)
		}
		time.Sleep(500 * time.Millisecond)
		for i := range f.nodes {
			f.start(i)
		}
		time.Sleep(1500 * time.Millisecond)
		again, _, other := f.send(10)
		t.Log("passed after the restart", again, "other", other)
		is.True(again > 0)
		is.Equal(other, 0)
		for range 60 {
			time.Sleep(50 * time.Millisecond)
			n, _, _ := f.send(1)
			again += n
		}
		is.True(time.Since(began) > 5*time.Second)
		is.True(float64(passed+again) <= (10*5+10)*1.1+20)
		for i := range f.nodes {
			f.kill(i)
		}
		f.Platform.Close()
		time.Sleep(40 * time.Second)
		synctest.Wait()
	})
}
