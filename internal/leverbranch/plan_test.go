package leverbranch_test

import (
	"fmt"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverbranch"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermember"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/matryer/is"
)

// group is a number of VMs with the same failure domain and power.
type group struct {
	count  int
	domain leverid.Domain
	power  float64
}

// vms returns the VMs of the groups.
func vms(groups ...group) []levermsg.VM {
	var out []levermsg.VM
	for _, g := range groups {
		for range g.count {
			id := leverid.VMID(fmt.Sprintf("%s-%.3f-%d", g.domain, g.power, len(out)))
			out = append(out, levermsg.VM{ID: id, Domain: g.domain, State: levermsg.Live, Power: g.power})
		}
	}
	return out
}

// branches returns the Branches of list[0] in a directory with a fan-out over the
// given number of shards, which have a replica in each of the failure domains.
func branches(list []levermsg.VM, shards int, domains ...leverid.Domain) (*leverbranch.Branches, *leverdirectory.Route) {
	route := leverdirectory.Route{Name: "r", Host: "h", Prefix: "/", RecordBytes: 16, MaxAttempts: 2}
	var upstreams []leverdirectory.Upstream
	for i := range shards {
		s := leverid.ServiceID(fmt.Sprint("s", i))
		route.Shards = append(route.Shards, s)
		for _, d := range domains {
			upstreams = append(upstreams, leverdirectory.Upstream{ID: leverid.UpstreamID(fmt.Sprint(s, d)), Service: s, Domain: d})
		}
	}
	d := &leverdirectory.Directory{}
	d.SetConfig(&leverdirectory.Config{Version: 1, Routes: []leverdirectory.Route{route}})
	d.SetUpstreams(upstreams)
	members := levermember.NewView(list[0])
	members.SetList(list)
	return &leverbranch.Branches{
		Self: list[0], Members: members, Timer: &levertimer.Service{}, Engine: &leverengine.Engine{Directory: d},
	}, d.View().Config.Route("h", "/")
}

// TestPlan checks over which VMs a fan-out is spread: within a failure domain if
// that is about as fast, and only where branches shorten the processing time.
func TestPlan(t *testing.T) {
	cases := map[string]struct {
		vms     []levermsg.VM
		shards  int
		domains []leverid.Domain
		// least and most bound the number of branches. home, if set, is the failure
		// domain of all of them.
		least, most int
		home        leverid.Domain
	}{
		"strong VMs in each domain": {
			vms(group{3, "a", 0.8}, group{3, "b", 0.8}, group{3, "c", 0.8}, group{90, "a", 0.2}, group{90, "b", 0.2}),
			180, []leverid.Domain{"a", "b", "c"}, 2, 2, "a",
		},
		"no replicas in the own domain": {
			vms(group{3, "x", 0.8}, group{3, "a", 0.8}, group{3, "b", 0.8}, group{90, "x", 0.2}),
			180, []leverid.Domain{"a", "b"}, 3, 3, "",
		},
		"weak VMs only": {
			vms(group{4, "a", 0.12}, group{4, "b", 0.12}, group{4, "c", 0.12}, group{6, "d", 0.12}),
			180, []leverid.Domain{"a", "b", "c"}, 7, 12, "",
		},
		"one strong VM":            {vms(group{1, "a", 0.8}, group{20, "a", 0.2}), 180, []leverid.Domain{"a"}, 3, 20, "a"},
		"few shards":               {vms(group{20, "a", 0.8}), 20, []leverid.Domain{"a"}, 0, 0, ""},
		"a small fleet":            {vms(group{11, "a", 0.12}), 180, []leverid.Domain{"a"}, 0, 0, ""},
		"power is not known":       {vms(group{20, "a", 0}), 180, []leverid.Domain{"a"}, 0, 0, ""},
		"no upstream known":        {vms(group{12, "a", 0.12}), 180, nil, 5, 12, "a"},
		"enough for several teams": {vms(group{300, "a", 0.8}), 1200, []leverid.Domain{"a"}, 15, 60, "a"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, route := branches(c.vms, c.shards, c.domains...)
			plan := b.Plan(route, b.Engine.Directory.View())
			is.True(len(plan) >= c.least && len(plan) <= c.most) // number of branches
			seen := make(map[int]bool)
			for _, branch := range plan {
				is.True(branch.VM.ID != b.Self.ID)
				is.True(c.home == "" || branch.VM.Domain == c.home)
				for _, part := range branch.Parts {
					is.True(!seen[part]) // a part is in one branch
					seen[part] = true
				}
			}
			is.True(len(seen) <= c.shards)
		})
	}
}

// TestPlanIsStable loses one of nine VMs. Most parts of the others stay where they
// are, so that their connections stay warm.
func TestPlanIsStable(t *testing.T) {
	is := is.New(t)
	list := vms(group{1, "x", 0.8}, group{9, "a", 0.8}, group{20, "x", 0.1})
	b, route := branches(list, 180, "a")
	before := make(map[int]leverid.VMID)
	for _, branch := range b.Plan(route, b.Engine.Directory.View()) {
		for _, part := range branch.Parts {
			before[part] = branch.VM.ID
		}
	}
	is.Equal(len(before), 180)
	lost := before[0]
	b.Members.MarkDown(lost, time.Now())
	moved := 0
	for _, branch := range b.Plan(route, b.Engine.Directory.View()) {
		is.True(branch.VM.ID != lost)
		for _, part := range branch.Parts {
			if before[part] != lost && before[part] != branch.VM.ID {
				moved++
			}
		}
	}
	is.True(moved <= 180/4) // parts of live VMs that moved
}

// TestShare checks that the shares of all VMs of a fleet sum to at most 1, and that
// the VMs that call upstreams have the larger ones.
func TestShare(t *testing.T) {
	is := is.New(t)
	list := vms(group{3, "a", 0.8}, group{3, "b", 0.8}, group{30, "a", 0.2}, group{30, "x", 0.2})
	sum, largest := 0.0, 0.0
	for i := range list {
		own := append([]levermsg.VM{list[i]}, list...)
		own = append(own[:i+1], own[i+2:]...)
		b, _ := branches(own, 180, "a", "b")
		share, ok := b.Share()
		is.True(ok)
		sum += share
		if list[i].Power == 0.8 {
			largest = max(largest, share)
		}
	}
	is.True(sum <= 1.001)
	is.True(largest > 0.1)
}
