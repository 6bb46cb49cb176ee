package leverroute_test

import (
	"fmt"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverroute"

	"github.com/matryer/is"
)

func vms(n int) []levermsg.VM {
	out := make([]levermsg.VM, n)
	for i := range out {
		out[i] = levermsg.VM{ID: leverid.VMID(fmt.Sprint("vm-", i)), Domain: leverid.Domain(fmt.Sprint("d", i%3))}
	}
	return out
}

func TestHomes(t *testing.T) {
	is := is.New(t)
	all := vms(9)
	var r leverroute.Groups
	moved := 0
	per := make(map[leverid.VMID]int)
	for i := range 900 {
		u := leverid.UpstreamID(fmt.Sprint("u", i))
		d := leverid.Domain(fmt.Sprint("d", i%3))
		home := r.Home("s", u, d, all)
		per[home]++
		is.True(home == "vm-0" || home[3] > '0') // a VM of the list
		for _, vm := range all {
			is.True(vm.ID != home || vm.Domain == d) // near
		}
		if r.Home("s", u, d, all[:8]) != home {
			moved++
			is.Equal(home, leverid.VMID("vm-8")) // only the lost VM's upstreams move
		}
	}
	for _, n := range per {
		is.True(n > 60 && n < 140) // even: 100 each
	}
	is.Equal(moved, per["vm-8"])
	is.True(r.Home("s", "u", "elsewhere", all) != "") // no VM in the domain: any
	is.Equal(r.Home("s", "u", "d0", nil), leverid.VMID(""))
}

// TestGroups counts the homes that a query of 1,200 shards goes to in a fleet of
// 2,100 VMs and 18 failure domains, and what a lost VM moves.
func TestGroups(t *testing.T) {
	is := is.New(t)
	const domains, size = 18, 32
	fleet := make([]levermsg.VM, 2100)
	for i := range fleet {
		fleet[i] = levermsg.VM{ID: leverid.VMID(fmt.Sprint("vm-", i)), Domain: leverid.Domain(fmt.Sprint("d", i%domains))}
	}
	upstream := func(i int) (leverid.UpstreamID, leverid.Domain) {
		return leverid.UpstreamID(fmt.Sprint("u", i)), leverid.Domain(fmt.Sprint("d", i%domains))
	}
	homes := func(r leverroute.Router, vms []levermsg.VM) map[leverid.VMID]int {
		out := make(map[leverid.VMID]int)
		for i := range 1200 {
			u, d := upstream(i)
			out[r.Home("s", u, d, vms)]++
		}
		return out
	}
	plain, grouped := homes(&leverroute.Groups{}, fleet), homes(&leverroute.Groups{Size: size}, fleet)
	t.Logf("a query of 1,200 shards goes to %d homes without groups, to %d with groups of %d", len(plain), len(grouped), size)
	is.True(len(plain) > 800)
	is.True(len(grouped) <= size && len(grouped) >= domains)
	r, moved := &leverroute.Groups{Size: size}, 0
	lost := fleet[:2099]
	for i := range 1200 {
		u, d := upstream(i)
		if r.Home("s", u, d, fleet) != (&leverroute.Groups{Size: size}).Home("s", u, d, lost) {
			moved++
		}
		if i == 200 {
			break
		}
	}
	is.True(moved <= 201/domains*2) // at most the part of one VM of a domain
	near := 0
	for i := range 1200 {
		u, d := upstream(i)
		for _, v := range fleet {
			if v.ID == r.Home("s", u, d, fleet) && v.Domain == d {
				near++
			}
		}
	}
	is.Equal(near, 1200) // each domain has homes of its own
}

func TestOwnerAgreesWithOrder(t *testing.T) {
	is := is.New(t)
	all := vms(7)
	for i := range 50 {
		key := fmt.Sprint("k", i)
		is.Equal(leverroute.Owner(key, all), leverroute.Order(key, all)[0])
	}
}

func TestChoose(t *testing.T) {
	near := leverroute.Candidate{Upstream: "near", Domain: "d0", Slots: 2}
	far := leverroute.Candidate{Upstream: "far", Domain: "d1", Slots: 2}
	both := []leverroute.Candidate{near, far}
	now := time.Unix(1000, 0)
	end := func(p *leverroute.Replicas, u leverid.UpstreamID, o levermsg.Outcome, took time.Duration, n int) {
		for range n {
			p.Started(u)
			p.Ended(u, o, took, now)
		}
	}
	cases := map[string]struct {
		learn func(p *leverroute.Replicas)
		want  leverid.UpstreamID
	}{
		"nothing known":    {func(*leverroute.Replicas) {}, "near"},
		"near one is slow": {func(p *leverroute.Replicas) { end(p, "near", levermsg.OK, 50*time.Millisecond, 20) }, "far"},
		"near one is down": {func(p *leverroute.Replicas) { end(p, "near", levermsg.Unreachable, 0, 1) }, "far"},
		"near one drains":  {func(p *leverroute.Replicas) { end(p, "near", levermsg.Draining, 0, 1) }, "far"},
		"near one hangs":   {func(p *leverroute.Replicas) { end(p, "near", levermsg.TimedOut, time.Second, 3) }, "far"},
		"near one is cold": {func(p *leverroute.Replicas) {
			end(p, "near", levermsg.Reset, 0, 1)
			end(p, "near", levermsg.OK, 5*time.Millisecond, 1)
		}, "far"},
		"near one is busy": {func(p *leverroute.Replicas) {
			for range 8 {
				p.Started("near")
			}
		}, "far"},
		"both look bad": {func(p *leverroute.Replicas) {
			end(p, "near", levermsg.Unreachable, 0, 1)
			end(p, "far", levermsg.Unreachable, 0, 1)
		}, "near"},
		"far one is failing": {func(p *leverroute.Replicas) { end(p, "far", levermsg.Failed, 0, 5) }, "near"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := leverroute.NewReplicas("d0", 1)
			c.learn(p)
			got, ok := p.Choose(both, nil, now)
			is.True(ok)
			is.Equal(got.Upstream, c.want)
			_, ok = p.Choose(both, func(leverid.UpstreamID) bool { return true }, now)
			is.True(!ok)
		})
	}
}

func TestChangesAreToldOnce(t *testing.T) {
	is := is.New(t)
	p := leverroute.NewReplicas("d0", 1)
	now := time.Unix(1000, 0)
	is.Equal(p.Ended("u", levermsg.OK, time.Millisecond, now), leverroute.Unchanged)
	is.Equal(p.Ended("u", levermsg.Reset, 0, now), leverroute.WentDown)
	is.Equal(p.Ended("u", levermsg.Unreachable, 0, now), leverroute.Unchanged)
	is.True(p.Avoided("u", now))
	is.Equal(p.Ended("u", levermsg.OK, time.Millisecond, now), leverroute.CameBack)
	is.True(!p.Avoided("u", now))
	is.Equal(p.Ended("u", levermsg.Draining, 0, now), leverroute.BeganDraining)
	is.Equal(p.Ended("u", levermsg.Draining, 0, now), leverroute.Unchanged)
}

func BenchmarkChoose(b *testing.B) {
	p := leverroute.NewReplicas("d0", 1)
	cs := []leverroute.Candidate{{Upstream: "a", Domain: "d0", Slots: 2}, {Upstream: "b", Domain: "d1", Slots: 2}}
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		p.Choose(cs, nil, now)
	}
}
