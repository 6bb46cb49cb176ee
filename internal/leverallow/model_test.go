package leverallow

import (
	"testing"
	"time"

	"arbutuslever.dev/lever/internal/leverid"

	"pgregory.net/rapid"
)

// checkBound fails if any window has more admitted requests than the bound.
func (s *sim) checkBound(t interface {
	Fatalf(format string, args ...any)
}, limits map[leverid.OrganisationID]Limit) {
	for name, at := range s.admitted {
		if n, from := most(at, s.terms.Window); float64(n) > s.terms.bound(limits[name]) {
			t.Fatalf("%d requests of %s within %s from %s, want at most %.1f", n, name, s.terms.Window, from, s.terms.bound(limits[name]))
		}
	}
}

// flood sends requests of all organisations at all VMs, more than their limits.
func (s *sim) flood(excess float64, until time.Duration) {
	for _, name := range s.names() {
		l := s.orgs[name]
		s.generate(name, excess*(l.Rate+l.Burst/2+4), until)
	}
}

// disturb disturbs the fleet once.
func (s *sim) disturb(t *rapid.T) {
	switch rapid.IntRange(0, 11).Draw(t, "disturbance") {
	case 0, 1, 2:
		v := rapid.SampledFrom(s.vms).Draw(t, "killed")
		s.restart(v, t)
	case 3, 4:
		v := rapid.SampledFrom(s.vms).Draw(t, "frozen")
		v.frozenUntil = max(v.frozenUntil, s.now+time.Duration(rapid.IntRange(50, 4000).Draw(t, "ms"))*time.Millisecond)
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
			s.restart(v, t)
		}
	}
}

// restart kills a VM, whose next process starts later. A VM restarts at most twice in a
// window.
func (s *sim) restart(v *simVM, t *rapid.T) {
	if v.up && s.now-v.started > terms.Window/2 {
		v.kill()
		v.frozenUntil = 0
		s.after(time.Duration(rapid.IntRange(50, 2500).Draw(t, "down ms"))*time.Millisecond, v.start)
	}
}

// TestBoundHoldsInFaults floods fleets while VMs are killed, frozen and partitioned,
// messages are lost, delayed and copied, and the list grows by up to a third.
func TestBoundHoldsInFaults(t *testing.T) {
	admitted, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		orgs := map[leverid.OrganisationID]Limit{
			"small": {Version: 1, Rate: 1, Burst: 1}, "middle": {Version: 1, Rate: 6, Burst: 3},
			"large": {Version: 1, Rate: 30, Burst: 30}, "bursts": {Version: 1, Rate: 2, Burst: 40},
		}
		vms := rapid.IntRange(1, 12).Draw(t, "vms")
		s := newSim(rapid.Uint64().Draw(t, "seed"), vms, orgs)
		s.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		s.copies = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "copies")
		s.maxDelay = rapid.SampledFrom([]time.Duration{3, 40, 700}).Draw(t, "delay") * time.Millisecond
		grow := rapid.IntRange(0, vms/3).Draw(t, "grow")
		s.run(time.Duration(rapid.IntRange(0, 9000).Draw(t, "calm")) * time.Millisecond)
		s.flood(rapid.SampledFrom([]float64{1, 4}).Draw(t, "excess"), s.now+time.Minute)
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			s.run(s.now + time.Duration(rapid.IntRange(10, 2500).Draw(t, "pause"))*time.Millisecond)
			s.disturb(t)
			if grow > 0 && rapid.IntRange(0, 5).Draw(t, "add") == 0 && !s.storeDown {
				grow--
				s.listed++
				s.add(s.now)
			}
		}
		s.run(s.now + time.Second)
		s.checkBound(t, orgs)
		admitted += s.admittedInAll()
		refused += sumOf(s.refused)
	})
	t.Log("admitted", admitted, "refused", refused)
	if admitted < 10_000 || refused < 10_000 {
		t.Fatalf("admitted %d, refused %d requests: the histories test little", admitted, refused)
	}
}
