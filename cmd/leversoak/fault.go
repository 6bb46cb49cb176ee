package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

// fault is one fault of a seed.
type fault struct {
	number int
	at     time.Duration
	kind   string
	// target picks a VM or an upstream, length how long the fault lasts.
	target int
	length time.Duration
}

func (f fault) String() string {
	return fmt.Sprintf("#%d at %s: %s of %d for %s", f.number, f.at.Round(time.Millisecond), f.kind, f.target, f.length.Round(time.Millisecond))
}

// acts are the kinds of fault.
var acts = map[string]func(s *soak, f fault){
	"kill":           func(s *soak, f fault) { s.vm(f).restart(syscall.SIGKILL, f.length/4) },
	"terminate":      (*soak).terminate,
	"terminate-roll": (*soak).terminateRoll,
	"pause": func(s *soak, f fault) {
		s.vm(f).signal(syscall.SIGSTOP)
		time.Sleep(f.length)
		s.vm(f).signal(syscall.SIGCONT)
	},
	"hangup-series": func(s *soak, f fault) {
		for range 4 {
			s.vm(f).signal(syscall.SIGHUP)
			time.Sleep(f.length / 8)
		}
	},
	"store-down": func(s *soak, f fault) {
		s.world.Store.SetDown(true)
		s.later(f, func() { s.world.Store.SetDown(false) })
	},
	"store-slow": func(s *soak, f fault) {
		s.world.Store.SetSlow(200 * time.Millisecond)
		s.later(f, func() { s.world.Store.SetSlow(0) })
	},
	"store-loses":   func(s *soak, _ fault) { s.world.Store.LoseAnswers(6) },
	"store-forgets": (*soak).storeForgets,
	"store-silent": func(s *soak, f fault) {
		s.vm(f).store.harm(0, false, true, false)
		s.later(f, func() { s.vm(f).store.harm(0, false, false, false) })
	},
	"store-cut": func(s *soak, f fault) {
		s.vm(f).store.harm(0, true, true, true)
		s.later(f, func() { s.vm(f).store.harm(0, false, false, false); s.vm(f).store.reset() })
	},
	"store-resets": func(s *soak, f fault) { s.vm(f).store.reset() },
	"upstream-delay": func(s *soak, f fault) {
		s.leafProxy(f).harm(60*time.Millisecond, false, false, false)
		s.later(f, func() { s.leafProxy(f).harm(0, false, false, false) })
	},
	"upstream-reset": func(s *soak, f fault) { s.leafProxy(f).reset() },
	"upstream-one-way": func(s *soak, f fault) {
		s.leafProxy(f).harm(0, false, true, false)
		s.later(f, func() { s.leafProxy(f).harm(0, false, false, false); s.leafProxy(f).reset() })
	},
	"upstream-silent": func(s *soak, f fault) {
		s.leafProxy(f).harm(0, true, true, false)
		s.later(f, func() { s.leafProxy(f).harm(0, false, false, false); s.leafProxy(f).reset() })
	},
	"upstream-crash":    func(s *soak, f fault) { l := s.leaf(f); s.world.Stop(l.ID); s.later(f, func() { s.startLeaf(l) }) },
	"upstream-sheds":    leafFault(standin.Faults{Shed: true}),
	"upstream-fails":    leafFault(standin.Faults{Errors: true}),
	"upstream-loses":    leafFault(standin.Faults{LoseAnswers: true}),
	"upstream-extra":    leafFault(standin.Faults{Extra: true}),
	"upstream-truncate": leafFault(standin.Faults{Truncate: true}),
	"upstream-mute":     leafFault(standin.Faults{Silent: true}),
	"upstream-drains":   (*soak).drains,
	"config":            (*soak).changeConfig,
	"config-storm":      (*soak).configStorm,
	"settings":          func(s *soak, f fault) { s.rewriteSettings(s.vm(f)) },
}

func leafFault(faults standin.Faults) func(s *soak, f fault) {
	return func(s *soak, f fault) {
		l := s.leaf(f)
		l.SetFaults(faults)
		s.later(f, func() { l.SetFaults(standin.Faults{}) })
	}
}

const (
	// faultEvery is the mean time between two faults.
	faultEvery = 600 * time.Millisecond
	// shortest and longest bound how long a fault lasts.
	shortest = 300 * time.Millisecond
	longest  = 3 * time.Second
	// targets is more than the VMs and upstreams of any soak.
	targets = 10000
)

// drawFaults draws a seed's faults. They overlap and come in series.
func drawFaults(seed uint64, o *options) []fault {
	var kinds []string
	for k := range acts {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	rng := rand.New(rand.NewPCG(seed, seed))
	var out []fault
	for at := time.Second; at < o.Length; at += time.Duration(rng.ExpFloat64() * float64(faultEvery)) {
		out = append(out, fault{
			number: len(out), at: at, kind: kinds[rng.IntN(len(kinds))], target: rng.IntN(targets),
			length: shortest + time.Duration(rng.Int64N(int64(longest-shortest))),
		})
	}
	return out
}

// later undoes a fault at its end.
func (s *soak) later(f fault, undo func()) {
	time.Sleep(f.length)
	undo()
}

func (s *soak) vm(f fault) *vm { return s.vms[f.target%len(s.vms)] }

func (s *soak) leaf(f fault) *standin.Leaf { return s.world.Leaf(s.leafIDs[f.target%len(s.leafIDs)]) }

func (s *soak) leafProxy(f fault) *proxy { return s.proxies[s.leafIDs[f.target%len(s.leafIDs)]] }

func (s *soak) startLeaf(l *standin.Leaf) {
	if err := s.world.Start(l); err != nil {
		s.note("upstream %s can't be started: %v", l.ID, err)
	}
}

func (s *soak) terminate(f fault) {
	if !s.vm(f).restart(syscall.SIGTERM, f.length/4) && !s.wasPaused(s.vm(f)) && !s.options.Rules {
		s.breaks("vm%d did not end within the grace of %d s", s.vm(f).n, graceS)
	}
}

// terminateRoll stops all VMs one after the other.
func (s *soak) terminateRoll(f fault) {
	for i := range s.vms {
		s.terminate(fault{target: f.target + i, length: f.length / 4})
	}
}

// storeForgets drops the store's history while watches hear nothing.
func (s *soak) storeForgets(f fault) {
	s.world.Store.SetDeaf(true)
	s.changeConfig(f)
	time.Sleep(min(f.length, time.Second))
	s.world.Store.DropHistory()
	s.world.Store.SetDeaf(false)
}

// drains has an upstream leave and come back.
func (s *soak) drains(f fault) {
	l := s.leaf(f)
	s.announce(l, "draining")
	time.Sleep(f.length)
	s.announce(l, "ready")
}

func (s *soak) announce(l *standin.Leaf, state string) {
	if err := s.world.Announce(l, state); err != nil {
		s.note("upstream %s: %v", l.ID, err)
	}
}

func (s *soak) configStorm(f fault) {
	for range 5 {
		s.changeConfig(f)
		time.Sleep(f.length / 10)
	}
}
