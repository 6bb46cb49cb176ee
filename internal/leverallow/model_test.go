package leverallow

import (
	"fmt"
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverid"

	"pgregory.net/rapid"
)

// exceeded returns what exceeds the bound in any window, or "".
func (s *sim) exceeded() string {
	for _, name := range s.names() {
		bound := s.terms.bound(s.orgs[name])
		if n, from := most(s.admitted[name], s.terms.Window); float64(n) > bound {
			return fmt.Sprintf("%d requests of %s within %s from %s, want at most %.1f", n, name, s.terms.Window, from, bound)
		}
	}
	return ""
}

// flood sends requests of an organisation at all VMs, more than its limit, with pauses
// in which its buckets fill.
func (s *sim) flood(name leverid.OrganisationID, excess float64) {
	l := s.orgs[name]
	on := s.millis(200, 8000)
	s.generate(name, excess*(2*l.Rate+2*l.Burst+4), s.now+on)
	s.after(on+s.millis(0, 6000), func() { s.flood(name, excess) })
}

// millis returns a random time between two numbers of milliseconds.
func (s *sim) millis(from, to int) time.Duration {
	return time.Duration(from+s.rng.IntN(to-from+1)) * time.Millisecond
}

// disturb disturbs the fleet once.
func (s *sim) disturb(t *rapid.T) {
	s.disturbed = true
	switch rapid.IntRange(0, 11).Draw(t, "disturbance") {
	case 0, 1, 2:
		v := rapid.SampledFrom(s.vms).Draw(t, "killed")
		s.restart(v)
	case 3, 4:
		v := rapid.SampledFrom(s.vms).Draw(t, "frozen")
		v.frozenUntil = max(v.frozenUntil, s.now+s.millis(50, 4000))
	case 5, 6, 7:
		for _, v := range s.vms {
			v.side = rapid.IntRange(0, 1).Draw(t, "side")
		}
	case 8, 9:
		for _, v := range s.vms {
			v.side = 0
		}
	case 10:
		s.storeDown = !s.storeDown
	case 11:
		for _, v := range s.vms {
			s.restart(v)
		}
	}
}

// restart kills a VM, whose next process starts later. A VM restarts at most twice in a
// window.
func (s *sim) restart(v *simVM) {
	if v.up && s.now-v.started > terms.Window/2 {
		v.kill()
		v.frozenUntil = 0
		s.after(s.millis(50, 2500), v.start)
	}
}

// randomHistory floods a fleet while it is disturbed.
func randomHistory(t *rapid.T, n naivety) *sim {
	orgs := map[leverid.OrganisationID]Limit{
		"small": {Version: 1, Rate: 1, Burst: 1}, "middle": {Version: 1, Rate: 6, Burst: 3},
		"large": {Version: 1, Rate: 30, Burst: 30}, "bursts": {Version: 1, Rate: 2, Burst: 40},
	}
	vms := rapid.IntRange(1, 12).Draw(t, "vms")
	s := newSim(rapid.Uint64().Draw(t, "seed"), vms, orgs)
	s.naive = n
	s.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
	s.copies = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "copies")
	s.maxDelay = rapid.SampledFrom([]time.Duration{3, 40, 700}).Draw(t, "delay") * time.Millisecond
	grow := rapid.IntRange(0, vms/3).Draw(t, "grow")
	// The buckets take 26 s to fill.
	s.run(rapid.SampledFrom([]time.Duration{0, 40}).Draw(t, "calm") * time.Second)
	excess := rapid.SampledFrom([]float64{1, 4}).Draw(t, "excess")
	for _, name := range s.names() {
		s.after(s.millis(0, 9000), func() { s.flood(name, excess) })
	}
	pause := rapid.SampledFrom([]int{200, 3000, 9000}).Draw(t, "pause")
	for range rapid.IntRange(5, 25).Draw(t, "steps") {
		s.run(s.now + s.millis(10, pause))
		s.disturb(t)
		if grow > 0 && rapid.IntRange(0, 5).Draw(t, "add") == 0 && !s.storeDown {
			grow--
			s.listed++
			s.add(s.now)
		}
	}
	s.run(s.now + time.Second)
	return s
}

// naivety is a way to weaken the VMs.
type naivety int

const (
	// localBuckets has each VM admit with a bucket of its own.
	localBuckets naivety = iota + 1
	// fullStart has new managers start with full buckets.
	fullStart
	// noLeases has managers count votes for ever, while VMs lend them again at once.
	noLeases
)

func (n naivety) weaken(m *Manager, c *Client, now time.Time) {
	for _, p := range m.pools {
		switch n {
		case fullStart:
			p.filled += 1000
		case noLeases:
			for id, v := range p.votes {
				v.until = now.Add(time.Hour)
				p.votes[id] = v
			}
			p.expiry = now.Add(time.Hour)
		}
	}
	for i := range c.loans {
		if n == noLeases {
			c.loans[i].until = time.Time{}
		}
	}
}

// takeLocally takes a token from the VM's own bucket, which starts full.
func (v *simVM) takeLocally(name leverid.OrganisationID) bool {
	b, l := v.local[name], v.limit(name)
	if b == nil {
		b = &bucket{limit: l, tokens: l.Burst}
		v.local[name] = b
	}
	now := v.s.now.Seconds()
	b.tokens = min(b.tokens+l.Rate*(now-b.filled), l.Burst)
	b.filled = now
	return b.take(1, 0) == 1
}

// TestModelFindsNaiveVersions checks that the histories of TestBoundHoldsInFaults show
// the faults of simpler designs.
func TestModelFindsNaiveVersions(t *testing.T) {
	want := 20
	if testing.Short() {
		want = 10
	}
	for name, n := range map[string]naivety{"a bucket in each VM": localBuckets, "new managers start full": fullStart, "no leases": noLeases} {
		t.Run(name, func(t *testing.T) {
			histories, exceeded := 0, 0
			rapid.Check(t, func(t *rapid.T) {
				if histories++; histories > want {
					return
				}
				s := randomHistory(t, n)
				if s.exceeded() != "" {
					exceeded++
				}
			})
			t.Log("histories that exceed the bound:", exceeded, "of", want)
			if exceeded == 0 {
				t.Fatal("no history exceeds the bound")
			}
		})
	}
}

// TestBoundHoldsInFaults floods fleets while VMs are killed, frozen and partitioned,
// messages are lost, delayed and copied, and the list grows by up to a third.
func TestBoundHoldsInFaults(t *testing.T) {
	histories, admitted, refused := 0, 0, 0
	worst := make(map[leverid.OrganisationID]int)
	rapid.Check(t, func(t *rapid.T) {
		s := randomHistory(t, 0)
		if problem := s.exceeded(); problem != "" {
			t.Fatal(problem)
		}
		for name, at := range s.admitted {
			n, _ := most(at, s.terms.Window)
			worst[name] = max(worst[name], n)
		}
		histories++
		admitted += s.admittedInAll()
		refused += sumOf(s.refused)
	})
	t.Log("admitted", admitted, "refused", refused, "most in a window", worst)
	if admitted < 200*histories || refused < 200*histories {
		t.Fatalf("admitted %d, refused %d requests: the histories test little", admitted, refused)
	}
}
