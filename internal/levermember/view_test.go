package levermember_test

import (
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermember"
	"arbutuslever.dev/lever/internal/levermsg"

	"github.com/matryer/is"
)

func vm(id leverid.VMID, s levermsg.VMState) levermsg.VM { return levermsg.VM{ID: id, State: s} }

func ids(vms []levermsg.VM) (out []leverid.VMID) {
	for _, v := range vms {
		out = append(out, v.ID)
	}
	return out
}

func TestView(t *testing.T) {
	now := time.Unix(1000, 0)
	later := now.Add(time.Second)
	cases := map[string]struct {
		update func(v *levermember.View)
		at     time.Time
		want   []leverid.VMID
	}{
		"the list":            {func(*levermember.View) {}, now, []leverid.VMID{"a", "b", "self"}},
		"dead VM in the list": {func(v *levermember.View) { v.MarkDown("b", now) }, later, []leverid.VMID{"a", "self"}},
		"answers again":       {func(v *levermember.View) { v.MarkDown("b", now); v.MarkUp("b") }, later, []leverid.VMID{"a", "b", "self"}},
		"reported leaving":    {func(v *levermember.View) { v.MarkLeaving("a", now) }, later, []leverid.VMID{"b", "self"}},
		"after a restart":     {func(v *levermember.View) { v.MarkLeaving("a", now); v.ClearLeaving("a") }, later, []leverid.VMID{"a", "b", "self"}},
		"unlisted live VM":    {func(v *levermember.View) { v.MarkSeen(vm("x", ""), now) }, later, []leverid.VMID{"a", "b", "self", "x"}},
		"unlisted VM expired": {func(v *levermember.View) { v.MarkSeen(vm("x", ""), now) }, now.Add(time.Minute), []leverid.VMID{"a", "b", "self"}},
		"self is leaving":     {func(v *levermember.View) { v.MarkSelfLeaving() }, later, []leverid.VMID{"a", "b"}},
		"empty list":          {func(v *levermember.View) { v.SetList(nil) }, later, []leverid.VMID{"self"}},
		"list without self":   {func(v *levermember.View) { v.SetList([]levermsg.VM{vm("a", levermsg.Live)}) }, later, []leverid.VMID{"a", "self"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := levermember.NewView(vm("self", levermsg.Live))
			is.True(v.SetList([]levermsg.VM{vm("self", levermsg.Live), vm("b", levermsg.Live), vm("a", levermsg.Live), vm("c", levermsg.Leaving)}))
			is.True(!v.SetList(v.List()))
			c.update(v)
			is.Equal(ids(v.Live(c.at)), c.want)
		})
	}
}

// TestProbeIntervalGrows checks that a peer that stays down is probed at growing
// intervals, between 5 and 20 times within a minute, and that a failed probe is
// not reported as a new failure.
func TestProbeIntervalGrows(t *testing.T) {
	is := is.New(t)
	v := levermember.NewView(vm("self", levermsg.Live))
	v.SetList([]levermsg.VM{vm("a", levermsg.Live)})
	now := time.Unix(1000, 0)
	is.True(v.MarkDown("a", now))
	probes := 0
	for s := range 600 { // a minute
		at := now.Add(time.Duration(s) * 100 * time.Millisecond)
		if len(v.Probes(at)) > 0 {
			probes++
			is.True(!v.MarkDown("a", at)) // already down
		}
	}
	is.True(probes > 5 && probes < 20)
}

// TestDownForCountsOneOutage has a peer answer between two failures, minutes
// apart. Only the second outage counts, whatever ended the first one.
func TestDownForCountsOneOutage(t *testing.T) {
	is := is.New(t)
	v := levermember.NewView(vm("self", levermsg.Live))
	v.SetList([]levermsg.VM{vm("a", levermsg.Live)})
	now := time.Unix(1000, 0)
	v.MarkDown("a", now)
	is.Equal(v.DownFor("a", now.Add(3*time.Second)), 3*time.Second)
	v.MarkUp("a")
	is.Equal(v.DownFor("a", now.Add(4*time.Second)), time.Duration(0))
	later := now.Add(10 * time.Minute)
	v.MarkDown("a", later)
	v.MarkDown("a", later.Add(time.Second))
	is.Equal(v.DownFor("a", later.Add(2*time.Second)), 2*time.Second)
}
