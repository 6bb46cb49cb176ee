package main

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

// fault is one scheduled fault of a seed.
type fault struct {
	number int
	at     time.Duration
	kind   string
	// target selects a VM or an upstream, modulo their number.
	target   int
	duration time.Duration
}

func (f fault) String() string {
	return fmt.Sprintf("#%d at %s: %s of %d for %s", f.number, f.at.Round(time.Millisecond), f.kind, f.target, f.duration.Round(time.Millisecond))
}

// injectors maps each kind of fault to the function that injects it.
var injectors = map[string]func(s *soak, f fault){
	"kill":           func(s *soak, f fault) { s.vm(f).restart(syscall.SIGKILL, f.duration/4) },
	"terminate":      (*soak).terminate,
	"terminate-roll": (*soak).terminateRoll,
	"pause": func(s *soak, f fault) {
		s.vm(f).signal(syscall.SIGSTOP)
		time.Sleep(f.duration)
		s.vm(f).signal(syscall.SIGCONT)
	},
	"hangup-series": func(s *soak, f fault) {
		for range 4 {
			s.vm(f).signal(syscall.SIGHUP)
			time.Sleep(f.duration / 8)
		}
	},
	"store-down": func(s *soak, f fault) {
		s.sim.Store.SetDown(true)
		s.undoAfter(f, func() { s.sim.Store.SetDown(false) })
	},
	"store-slow": func(s *soak, f fault) {
		s.sim.Store.SetDelay(200 * time.Millisecond)
		s.undoAfter(f, func() { s.sim.Store.SetDelay(0) })
	},
	"store-loses":   func(s *soak, _ fault) { s.sim.Store.LoseResponses(6) },
	"store-forgets": (*soak).dropStoreHistory,
	"store-silent": func(s *soak, f fault) {
		s.vm(f).store.impair(0, false, true, false)
		s.undoAfter(f, func() { s.vm(f).store.impair(0, false, false, false) })
	},
	"store-cut": func(s *soak, f fault) {
		s.vm(f).store.impair(0, true, true, true)
		s.undoAfter(f, func() { s.vm(f).store.impair(0, false, false, false); s.vm(f).store.reset() })
	},
	"store-odd":    (*soak).putOddEntries,
	"store-resets": func(s *soak, f fault) { s.vm(f).store.reset() },
	"upstream-delay": func(s *soak, f fault) {
		s.upstreamProxy(f).impair(60*time.Millisecond, false, false, false)
		s.undoAfter(f, func() { s.upstreamProxy(f).impair(0, false, false, false) })
	},
	"upstream-reset": func(s *soak, f fault) { s.upstreamProxy(f).reset() },
	"upstream-one-way": func(s *soak, f fault) {
		s.upstreamProxy(f).impair(0, false, true, false)
		s.undoAfter(f, func() { s.upstreamProxy(f).impair(0, false, false, false); s.upstreamProxy(f).reset() })
	},
	"upstream-silent": func(s *soak, f fault) {
		s.upstreamProxy(f).impair(0, true, true, false)
		s.undoAfter(f, func() { s.upstreamProxy(f).impair(0, false, false, false); s.upstreamProxy(f).reset() })
	},
	"upstream-crash":    func(s *soak, f fault) { u := s.upstream(f); s.sim.Stop(u.ID); s.undoAfter(f, func() { s.start(u) }) },
	"upstream-sheds":    upstreamFault(standin.Faults{Shed: true}),
	"upstream-fails":    upstreamFault(standin.Faults{Errors: true}),
	"upstream-loses":    upstreamFault(standin.Faults{LoseResponses: true}),
	"upstream-extra":    upstreamFault(standin.Faults{Extra: true}),
	"upstream-truncate": upstreamFault(standin.Faults{Truncate: true}),
	"upstream-cut-head": upstreamFault(standin.Faults{CutHead: true}),
	"upstream-mute":     upstreamFault(standin.Faults{Silent: true}),
	"upstream-drains":   (*soak).drainUpstream,
	"config":            (*soak).changeConfig,
	"config-storm":      (*soak).configStorm,
	"settings":          func(s *soak, f fault) { s.rewriteSettings(s.vm(f)) },
}

// stopInjectors are the further ones for --planned and --stops. They are kept apart
// so that the faults of the other seeds stay as they are.
var stopInjectors = map[string]func(s *soak, f fault){
	"terminate-busy": (*soak).terminateBusy,
	"terminate-wave": (*soak).terminateWave,
	"upstream-slow":  upstreamFault(standin.Faults{Slowdown: slowdown}),
	"upstreams-slow": (*soak).slowUpstreams,
}

// blockInjectors are the further ones for --blocks.
var blockInjectors = map[string]func(s *soak, f fault){
	"upstream-leaving": (*soak).leaveUpstream,
	"upstream-pauses":  (*soak).pauseUpstream,
	"service-pauses":   (*soak).pauseService,
}

// blockKinds are the kinds for --blocks, sorted. Links stay sound, since a VM may miss
// the answer that asks for a pause otherwise.
var blockKinds = []string{
	"config", "kill", "pause", "service-pauses", "terminate-busy", "terminate-roll", "upstream-crash", "upstream-leaving", "upstream-pauses",
	"upstream-sheds", "upstream-slow",
}

// plannedKinds are the kinds that are planned work, sorted.
var plannedKinds = []string{"config", "config-storm", "hangup-series", "terminate", "terminate-busy", "terminate-roll", "terminate-wave", "upstream-drains"}

// stopKinds are the kinds of stops and of faults of upstreams, sorted.
var stopKinds = []string{
	"terminate", "terminate-busy", "terminate-roll", "terminate-wave", "upstream-crash", "upstream-delay", "upstream-extra", "upstream-fails",
	"upstream-loses", "upstream-mute", "upstream-one-way", "upstream-reset", "upstream-sheds", "upstream-silent", "upstream-slow", "upstream-truncate",
	"upstreams-slow",
}

func upstreamFault(faults standin.Faults) func(s *soak, f fault) {
	return func(s *soak, f fault) {
		u := s.upstream(f)
		u.SetFaults(faults)
		s.undoAfter(f, func() { u.SetFaults(standin.Faults{}) })
	}
}

const (
	// slowdown is the factor by which a slow upstream takes longer.
	slowdown = 12
	// slowEvery says that each such upstream is slow when many are.
	slowEvery = 2
)

// slowUpstreams slows many upstreams at a time, for longer than a stop takes.
func (s *soak) slowUpstreams(f fault) {
	for i := f.target; i < f.target+len(s.ids); i += slowEvery {
		s.upstream(fault{target: i}).SetFaults(standin.Faults{Slowdown: slowdown})
	}
	time.Sleep(time.Duration(s.options.GraceS) * time.Second)
	for i := f.target; i < f.target+len(s.ids); i += slowEvery {
		s.upstream(fault{target: i}).SetFaults(standin.Faults{})
	}
}

const (
	// meanFaultInterval is the mean time between two faults.
	meanFaultInterval = 600 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// targetRange bounds fault.target. It exceeds the number of VMs or upstreams
	// of any soak.
	targetRange = 10000
)

// generateFaults returns the random faults of a seed, ordered by time. Faults
// may overlap, and several may occur in quick succession.
func generateFaults(seed uint64, o *options) []fault {
	kinds := plannedKinds
	switch {
	case o.Blocks:
		kinds = blockKinds
	case o.Stops:
		kinds = stopKinds
	case !o.Planned:
		kinds = slices.Sorted(maps.Keys(injectors))
	}
	out := randomFaults(rand.New(rand.NewPCG(seed, seed)), kinds, o.Duration)
	if o.hasOrganisations(seed) {
		out = append(out, organisationFaults(seed, o)...)
		slices.SortStableFunc(out, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
		for i := range out {
			out[i].number = i
		}
	}
	return out
}

// randomFaults returns faults of some kinds, ordered by time.
func randomFaults(rng *rand.Rand, kinds []string, length time.Duration) []fault {
	var out []fault
	for at := time.Second; at < length; at += time.Duration(rng.ExpFloat64() * float64(meanFaultInterval)) {
		out = append(out, fault{
			number: len(out), at: at, kind: kinds[rng.IntN(len(kinds))], target: rng.IntN(targetRange),
			duration: minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration))),
		})
	}
	return out
}

// undoAfter waits for the duration of f and then calls undo.
func (s *soak) undoAfter(f fault, undo func()) {
	time.Sleep(f.duration)
	undo()
}

func (s *soak) vm(f fault) *vm { return s.vms[f.target%len(s.vms)] }

func (s *soak) upstream(f fault) *standin.Upstream { return s.sim.Upstream(s.ids[f.target%len(s.ids)]) }

func (s *soak) upstreamProxy(f fault) *proxy { return s.proxies[s.ids[f.target%len(s.ids)]] }

func (s *soak) start(u *standin.Upstream) {
	if err := s.sim.Start(u); err != nil {
		s.logf("upstream %s failed to start: %v", u.ID, err)
	}
}

func (s *soak) terminate(f fault) {
	if !s.vm(f).restart(syscall.SIGTERM, f.duration/4) && !s.isPaused(s.vm(f)) && !s.options.RulesOnly {
		s.violationf("vm%d did not exit within the grace period of %d s", s.vm(f).n, s.options.GraceS)
	}
}

// terminateRoll terminates and restarts all VMs one after another.
func (s *soak) terminateRoll(f fault) {
	for i := range s.vms {
		s.terminate(fault{target: f.target + i, duration: f.duration / 4})
	}
}

// terminateBusy terminates a VM as soon as it has a slow request in flight.
func (s *soak) terminateBusy(f fault) {
	for until := time.Now().Add(f.duration); s.vm(f).slow.Load() == 0 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	s.terminate(f)
}

// waveSize is the number of VMs that a wave terminates at a time.
const waveSize = 3

// terminateWave terminates and restarts all VMs, some at a time, without waiting
// for the ones before.
func (s *soak) terminateWave(f fault) {
	var running sync.WaitGroup
	for i := range s.vms {
		if i > 0 && i%waveSize == 0 {
			time.Sleep(time.Second + f.duration/3)
		}
		t := &terminator{soak: s, fault: fault{target: f.target + i, duration: f.duration / 4}}
		running.Add(1)
		go t.run(&running)
	}
	running.Wait()
}

// terminator terminates one VM of a wave.
type terminator struct {
	soak  *soak
	fault fault
}

func (t *terminator) run(wg *sync.WaitGroup) {
	defer wg.Done()
	t.soak.terminateBusy(t.fault)
}

// dropStoreHistory changes the configuration and drops the store's history
// while watches receive no events, so that they can't resume.
func (s *soak) dropStoreHistory(f fault) {
	s.sim.Store.SetWatchMute(true)
	s.changeConfig(f)
	time.Sleep(min(f.duration, time.Second))
	s.sim.Store.DropHistory()
	s.sim.Store.SetWatchMute(false)
}

// putOddEntries adds entries of another writer, which stay, to those of the upstreams,
// the VMs and the configurations, and then changes the configuration, which has to
// come into force nevertheless.
func (s *soak) putOddEntries(f fault) {
	for _, kind := range []string{"servers", "arbutus-vms", "config"} {
		for name, text := range standin.OddEntries("once", unusedAddress) {
			s.sim.Store.PutVerbatim(kind, name, text)
		}
	}
	s.changeConfig(f)
}

// unusedAddress is one at which nothing listens.
const unusedAddress = "127.0.0.1:1"

// drainUpstream announces an upstream as draining and, at the end of the fault,
// as ready again.
func (s *soak) drainUpstream(f fault) {
	u := s.upstream(f)
	s.announce(u, "draining")
	time.Sleep(f.duration)
	s.announce(u, "ready")
}

// leaveUpstream has an upstream say that it leaves while its entry stays as it is. It
// exits after the time that VMs may take to notice, and another run follows.
func (s *soak) leaveUpstream(f fault) {
	u := s.upstream(f)
	u.SetFaults(standin.Faults{Leaving: true})
	time.Sleep(standin.DrainTime + f.duration)
	s.sim.Stop(u.ID)
	u.Renew()
	s.start(u)
	s.announce(u, "ready")
}

// pauseUpstream has an upstream refuse requests and ask for a pause that ends with the
// fault.
func (s *soak) pauseUpstream(f fault) { s.pauseAll(f, s.upstream(f)) }

// pauseService has all upstreams of a service do so.
func (s *soak) pauseService(f fault) {
	var all []*standin.Upstream
	for _, u := range s.sim.Upstreams() {
		if u.Service == s.upstream(f).Service {
			all = append(all, u)
		}
	}
	s.pauseAll(f, all...)
}

func (s *soak) pauseAll(f fault, all ...*standin.Upstream) {
	end := time.Now().Add(f.duration)
	for ; time.Now().Before(end); time.Sleep(f.duration / 10) {
		for _, u := range all {
			u.SetFaults(standin.Faults{Shed: true, RetryAfter: strconv.FormatFloat(time.Until(end).Seconds(), 'f', 3, 64)})
		}
	}
	for _, u := range all {
		u.SetFaults(standin.Faults{})
	}
}

func (s *soak) announce(u *standin.Upstream, state string) {
	if err := s.sim.Register(u, state); err != nil {
		s.logf("upstream %s: %v", u.ID, err)
	}
}

func (s *soak) configStorm(f fault) {
	for range 5 {
		s.changeConfig(f)
		time.Sleep(f.duration / 10)
	}
}
