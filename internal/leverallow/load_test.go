package leverallow

import (
	"slices"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverid"

	"github.com/matryer/is"
)

// TestHotOrganisationsAreCut has three organisations send 7.5 times their usual load for
// 8 s. They get their limits and no more, and no request of the others is refused.
func TestHotOrganisationsAreCut(t *testing.T) {
	is := is.New(t)
	orgs, usual := zipf(79, 1.2, 48)
	s := newSim(2, 73, orgs)
	s.run(20 * time.Second)
	hot := []leverid.OrganisationID{"org00", "org05", "org40"}
	s.generateAll(usual, s.now+20*time.Second)
	for _, name := range hot {
		s.after(5*time.Second, func() { s.generate(name, 6.5*usual[name], s.now+8*time.Second) })
	}
	s.run(s.now + 21*time.Second)
	is.Equal(s.exceeded(), "")
	is.Equal(sumOf(s.undecided), 0)
	for _, name := range s.names() {
		l := orgs[name]
		if !slices.Contains(hot, name) {
			is.Equal(s.refused[name], 0) // an organisation within its limit
			continue
		}
		n, _ := most(s.admitted[name], terms.Window)
		t.Log(name, "limit", l.Rate, "most in a window", n, "refused", s.refused[name])
		if 7.5*usual[name] > 2*l.Rate {
			is.True(s.refused[name] > 0)
		}
		is.True(float64(n) >= min(l.Rate*5+l.Burst, 30*usual[name])) // gets its limit
	}
}

// TestRetryAfterIsWhenATokenIsThere has callers come again exactly when they are told
// to. None is refused more than once.
func TestRetryAfterIsWhenATokenIsThere(t *testing.T) {
	is := is.New(t)
	orgs := map[leverid.OrganisationID]Limit{"org": {Version: 1, Rate: 10, Burst: 10}}
	s := newSim(1, 9, orgs)
	s.run(10 * time.Second)
	var again []time.Duration
	var waiters []*Waiter
	v := s.vms[4]
	for range 60 {
		waiters = append(waiters, v.client.Take("org", orgs["org"], v.clock()))
	}
	v.send()
	s.run(s.now + 10*time.Millisecond)
	for _, w := range waiters {
		is.True(w.decided())
		if !w.Decision.Granted {
			is.True(w.Decision.RetryAfter >= minWait)
			again = append(again, s.now+w.Decision.RetryAfter)
		}
	}
	is.True(len(again) > 20)
	is.True(slices.IsSorted(again)) // spread
	for _, at := range again {
		s.run(max(at, s.now) + 10*time.Millisecond)
		w := v.client.Take("org", orgs["org"], v.clock())
		v.send()
		s.run(s.now + 10*time.Millisecond)
		is.True(w.decided() && w.Decision.Granted)
	}
}

// TestListGrows has 20 VMs join a fleet of 60, and 15 one of 90, which has another group
// then. Nearly no request within the limits is refused.
func TestListGrows(t *testing.T) {
	cases := map[string]struct{ from, to, lost int }{
		"from 60 to 80":  {60, 80, 0},
		"from 90 to 105": {90, 105, 40},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			orgs, usual := zipf(79, 1.2, 48)
			s := newSim(1, c.from, orgs)
			s.disturbed = true
			s.run(20 * time.Second)
			s.generateAll(usual, s.now+30*time.Second)
			for range c.to - c.from {
				s.after(5*time.Second+s.millis(0, 3000), func() {
					s.listed++
					s.add(s.now)
				})
			}
			s.run(s.now + 31*time.Second)
			t.Log("admitted", s.admittedInAll(), "refused", sumOf(s.refused), "undecided", sumOf(s.undecided))
			is.Equal(s.exceeded(), "")
			is.True(sumOf(s.refused)+sumOf(s.undecided) <= c.lost)
			is.Equal(len(s.vms[0].client.loans), groupCount(c.to))
		})
	}
}

// TestListGrowsBehindAPartition cuts 25 of 60 VMs off and then lists 20 more. Both sides
// are flooded. The VMs that are cut off count too few votes, the others too many.
func TestListGrowsBehindAPartition(t *testing.T) {
	is := is.New(t)
	orgs, _ := zipf(5, 1.2, 48)
	s := newSim(1, 60, orgs)
	s.disturbed = true
	s.run(20 * time.Second)
	for _, name := range s.names() {
		s.generate(name, 10*orgs[name].Rate+20, s.now+30*time.Second)
	}
	for i := range 25 {
		s.vms[2*i].side = 1
	}
	for range 20 {
		s.after(s.millis(100, 1000), func() {
			s.listed++
			s.add(s.now)
		})
	}
	s.run(s.now + 31*time.Second)
	is.Equal(s.exceeded(), "")
	is.True(s.admittedInAll() > 1000)
}

// TestLimitIsLowered lowers a limit from 50 to 2, which the VMs learn within 5 s.
// One window later the new bound holds.
func TestLimitIsLowered(t *testing.T) {
	is := is.New(t)
	const name = "org"
	lower := Limit{Version: 2, Rate: 2, Burst: 2}
	s := newSim(1, 12, map[leverid.OrganisationID]Limit{name: {Version: 1, Rate: 50, Burst: 50}})
	s.run(20 * time.Second)
	s.generate(name, 200, s.now+30*time.Second)
	s.run(s.now + 5*time.Second)
	for _, v := range s.vms {
		s.after(s.millis(0, 5000), func() { v.versions = map[leverid.OrganisationID]Limit{name: lower} })
	}
	s.run(s.now + 5*time.Second)
	from := s.now
	s.run(s.now + 20*time.Second)
	late := slices.DeleteFunc(s.admitted[name], func(at time.Duration) bool { return at < from })
	n, _ := most(late, terms.Window)
	is.True(float64(n) <= terms.bound(lower))
	is.True(n >= 10)
}

// TestVersionsDiffer has a VM and a manager with different configurations. The newer one
// applies, also if the older one does not have the organisation.
func TestVersionsDiffer(t *testing.T) {
	small, large := Limit{Version: 1, Rate: 1, Burst: 1}, Limit{Version: 2, Rate: 50, Burst: 50}
	cases := map[string]struct {
		vm, manager Limit
		granted     int
	}{
		"same":                   {small, small, 13},
		"newer at the manager":   {small, large, 62},
		"newer at the VM":        {large, small, 62},
		"unknown at the manager": {small, Limit{}, 13},
		"unlimited at manager":   {small, Limit{Version: 2}, 100},
		"unlimited before":       {large, Limit{Version: 1}, 62},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			m := NewManager(terms, 1, func(leverid.OrganisationID) Limit { return c.manager }, func(int, int) leverid.VMID { return "" }, now)
			m.Handle("vm", &Message{Boot: 1, Seq: 1, EchoBoot: 1, Groups: 3, Lend: 7, Listed: 1}, now)
			now = now.Add(400 * time.Millisecond)
			for seq := range uint32(200) {
				m.Handle("vm", &Message{Boot: 1, Seq: 2 + seq, EchoBoot: 1, Echo: now.Sub(time.Unix(1000, 0)).Milliseconds(), Groups: 3, Lend: 7, Listed: 1}, now)
				now = now.Add(200 * time.Millisecond)
			}
			r := m.Handle("vm", &Message{Boot: 1, Seq: 500, Groups: 3, Asks: []Ask{{Organisation: "org", Need: 100, Version: c.vm.Version, Rate: c.vm.Rate, Burst: c.vm.Burst}}}, now)
			is.Equal(int(r.Grants[0].Granted), c.granted)
		})
	}
}

// TestRequestsShareMessages sends 200 requests at one VM within 20 ms. Those that come
// while a message is on its way share the next one.
func TestRequestsShareMessages(t *testing.T) {
	is := is.New(t)
	orgs := map[leverid.OrganisationID]Limit{"org": {Version: 1, Rate: 300, Burst: 300}}
	s := newSim(1, 9, orgs)
	s.minDelay = s.maxDelay - 1
	s.run(10 * time.Second)
	before := s.messages
	for range 200 {
		s.after(s.millis(0, 20), func() { s.vms[8].request("org") })
	}
	s.run(s.now + 50*time.Millisecond)
	is.Equal(len(s.admitted["org"]), 200)
	is.True(slices.Max(s.waits) <= 12*time.Millisecond) // two round trips
	t.Log(s.messages - before)
	is.True(s.messages-before < 9*3+10) // of which up to 27 renew votes
}

// TestRetriesWithoutPause has a caller retry 2,000 times a second at one VM. Most are
// refused there, so that the manager gets few messages.
func TestRetriesWithoutPause(t *testing.T) {
	is := is.New(t)
	orgs := map[leverid.OrganisationID]Limit{"org": {Version: 1, Rate: 5, Burst: 5}}
	s := newSim(1, 9, orgs)
	s.run(10 * time.Second)
	before := s.messages
	for i := range 4000 {
		s.after(time.Duration(i)*500*time.Microsecond, func() { s.vms[8].request("org") })
	}
	s.run(s.now + 2100*time.Millisecond)
	n := len(s.admitted["org"])
	is.True(n >= 26 && n <= 28) // burst, jitter part and two seconds
	is.Equal(s.refused["org"], 4000-n)
	t.Log("messages", s.messages-before)
	is.True(s.messages-before < 9*3*11+2*200) // of which up to 297 renew votes
}

// TestReturnedTokens gives back all requests that were taken. They can be taken again,
// through another VM.
func TestReturnedTokens(t *testing.T) {
	is := is.New(t)
	l := Limit{Version: 1, Rate: 0.001, Burst: 5}
	s := newSim(1, 9, map[leverid.OrganisationID]Limit{"org": l})
	s.run(10 * time.Second)
	take := func(v *simVM) (granted int) {
		for range 20 {
			w := v.client.Take("org", l, v.clock())
			v.send()
			s.run(s.now + 10*time.Millisecond)
			if w.decided() && w.Decision.Granted {
				granted++
			}
		}
		return granted
	}
	first := take(s.vms[7])
	is.True(first >= 2) // at least the handover's
	for range first {
		s.vms[7].client.Return("org", s.vms[7].clock())
	}
	s.run(s.now + 300*time.Millisecond)
	is.Equal(take(s.vms[8]), first)
}

// TestNoVMIsLive has a VM that knows of no live VM, as one that leaves alone, while the
// list grows. It must decide without a manager.
func TestNoVMIsLive(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := NewClient(terms, "vm0", 1, now)
	for _, listed := range []int{0, 1, 300, 1} {
		now = now.Add(10 * time.Second)
		c.SetFleet(Fleet{Listed: listed, Current: true, List: make([]leverid.VMID, listed)}, now)
		w := c.Take("org", Limit{Version: 1, Rate: 1}, now)
		is.Equal(len(c.Due(now)), 0)
		c.GiveUp(w, now)
		is.True(w.Decision.Undecided || w.Decision.Fallback)
	}
}
