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
		learn func(v *levermember.View)
		at    time.Time
		want  []leverid.VMID
	}{
		"the list":             {func(*levermember.View) {}, now, []leverid.VMID{"a", "b", "self"}},
		"dead VM in the list":  {func(v *levermember.View) { v.Failed("b", now) }, later, []leverid.VMID{"a", "self"}},
		"back after a word":    {func(v *levermember.View) { v.Failed("b", now); v.Answered("b") }, later, []leverid.VMID{"a", "b", "self"}},
		"its own word":         {func(v *levermember.View) { v.Left("a", now) }, later, []leverid.VMID{"b", "self"}},
		"started anew":         {func(v *levermember.View) { v.Left("a", now); v.Stays("a") }, later, []leverid.VMID{"a", "b", "self"}},
		"live VM not listed":   {func(v *levermember.View) { v.Met(vm("x", ""), now) }, later, []leverid.VMID{"a", "b", "self", "x"}},
		"silent for a while":   {func(v *levermember.View) { v.Met(vm("x", ""), now) }, now.Add(time.Minute), []leverid.VMID{"a", "b", "self"}},
		"self is leaving":      {func(v *levermember.View) { v.LeaveSelf() }, later, []leverid.VMID{"a", "b"}},
		"list without any":     {func(v *levermember.View) { v.SetList(nil) }, later, []leverid.VMID{"self"}},
		"list without the own": {func(v *levermember.View) { v.SetList([]levermsg.VM{vm("a", levermsg.Live)}) }, later, []leverid.VMID{"a", "self"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := levermember.NewView(vm("self", levermsg.Live))
			is.True(v.SetList([]levermsg.VM{vm("self", levermsg.Live), vm("b", levermsg.Live), vm("a", levermsg.Live), vm("c", levermsg.Leaving)}))
			is.True(!v.SetList(v.List()))
			c.learn(v)
			is.Equal(ids(v.Live(c.at)), c.want)
		})
	}
}

func TestProbesGrowApart(t *testing.T) {
	is := is.New(t)
	v := levermember.NewView(vm("self", levermsg.Live))
	v.SetList([]levermsg.VM{vm("a", levermsg.Live)})
	now := time.Unix(1000, 0)
	is.True(v.Failed("a", now))
	probes := 0
	for s := range 600 { // a minute
		at := now.Add(time.Duration(s) * 100 * time.Millisecond)
		if len(v.Probes(at)) > 0 {
			probes++
			is.True(!v.Failed("a", at)) // known already
		}
	}
	is.True(probes > 5 && probes < 20)
}
