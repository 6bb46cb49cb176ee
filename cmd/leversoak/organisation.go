package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

const (
	// organisationCount is the number of organisations that the callers belong to.
	organisationCount = 5
	// keyPrefix begins each key, so that a log that holds one can be found.
	keyPrefix = "caller-key-"
	// hotFactor is the multiple of its usual load that a hot organisation sends.
	hotFactor = 7
	// oddKeyEvery is the mean number of requests between two without a key, and
	// between two with one that never was. Every forgeEvery-th claims an organisation.
	oddKeyEvery = 20
	forgeEvery  = 4
	// recentKeys is the number of an organisation's last keys, revoked ones among them,
	// that callers use.
	recentKeys = 4
	// stormVersions is the number of configuration versions that follow each other at
	// intervals of stormInterval.
	stormVersions = 6
	stormInterval = 330 * time.Millisecond
	// The limit of each organisation with --limits. The usual load is about 10 per s.
	limitRate, limitBurst = 20, 10
	// evacuateMS bounds the time until an evacuation takes effect, in milliseconds.
	evacuateMS = 3000
)

// organisationInjectors are the further faults of seeds with organisations.
var organisationInjectors = map[string]func(s *soak, f fault){
	"key-add":    func(s *soak, f fault) { s.addKeyTo(f.target) },
	"key-move":   func(s *soak, f fault) { s.moveKey(f.target) },
	"key-revoke": func(s *soak, f fault) { s.revokeKey(f.target) },
	"key-storm":  (*soak).changeKeysOften,
	"key-cut":    (*soak).revokeDuringCut,
	"key-outage": (*soak).revokeDuringOutage,
	"hot":        (*soak).heatOrganisation,
	"limit-lower": func(s *soak, f fault) {
		s.changeTenants(func(all []standin.Tenant) { all[f.target%len(all)].RatePerS /= 2 })
	},
	"evacuate": (*soak).evacuateZone,
}

// hasOrganisations reports whether a seed runs with organisations.
func (o *options) hasOrganisations(seed uint64) bool {
	switch o.Organisations {
	case "on":
		return true
	case "off":
		return false
	}
	return seed%4 == 3 && !o.Planned && !o.Stops && !o.Blocks
}

// organisationFaults returns the further faults of a seed with organisations.
func organisationFaults(seed uint64, o *options) []fault {
	kinds := []string{"hot", "key-add", "key-move", "key-revoke", "key-cut", "key-storm"}
	if o.StrictRevoke {
		kinds = append(kinds, "key-outage")
	}
	if o.Limits {
		kinds = append(kinds, "limit-lower")
	}
	if o.Evacuations {
		kinds = append(kinds, "evacuate")
	}
	return randomFaults(rand.New(rand.NewPCG(seed, seed+1)), kinds, o.Duration)
}

// setUpOrganisations adds the organisations to the configuration.
func (s *soak) setUpOrganisations() error {
	var all []standin.Tenant
	for i := range organisationCount {
		t := standin.Tenant{Name: fmt.Sprintf("org%d", i)}
		if s.options.Limits {
			t.RatePerS, t.Burst = limitRate, limitBurst
		}
		if i == 0 {
			t.Priority = new(int)
		}
		s.addKey(&t)
		s.addKey(&t)
		all = append(all, t)
	}
	for i, id := range s.ids {
		s.sim.Upstream(id).TellsLoad = i%2 == 0
	}
	return s.sim.RequireKeys(all)
}

// bounds returns the bounds of the settings that organisations need.
func (s *soak) bounds() map[string]any {
	if !s.options.hasOrganisations(s.seed) {
		return nil
	}
	out := map[string]any{
		"revokeMs": configApply.Milliseconds(), "quotaWindowS": standin.QuotaWindow.Seconds(), "quotaExcess": standin.QuotaExcess, "quotaSlack": standin.QuotaSlack,
	}
	if s.options.StrictRevoke {
		out["strictRevoke"] = true
	}
	if s.options.Evacuations {
		out["evacuateMs"] = evacuateMS
	}
	return out
}

// changeTenants writes a configuration with changed organisations.
func (s *soak) changeTenants(change func(all []standin.Tenant)) {
	s.updateConfig(func(c *standin.Config) { change(c.Tenants) })
}

// addKey gives an organisation another key. The caller holds the mutex.
func (s *soak) addKey(t *standin.Tenant) {
	s.keyCount++
	key := fmt.Sprintf("%s%s-%d", keyPrefix, t.Name, s.keyCount)
	t.APIKeys = append(t.APIKeys, key)
	s.keys[t.Name] = append(s.keys[t.Name], key)
}

// addKeyTo gives the organisation with a number another key.
func (s *soak) addKeyTo(n int) {
	s.changeTenants(func(all []standin.Tenant) { s.addKey(&all[n%len(all)]) })
}

// moveKey gives the last key of an organisation to the next one, but never its only one.
func (s *soak) moveKey(n int) {
	s.changeTenants(func(all []standin.Tenant) {
		if key := takeKey(&all[n%len(all)]); key != "" {
			to := &all[(n+1)%len(all)]
			to.APIKeys = append(to.APIKeys, key)
			s.keys[to.Name] = append(s.keys[to.Name], key)
		}
	})
}

// revokeKey takes the last key of an organisation away, but never its only one.
func (s *soak) revokeKey(n int) {
	s.changeTenants(func(all []standin.Tenant) { takeKey(&all[n%len(all)]) })
}

func takeKey(t *standin.Tenant) string {
	last := len(t.APIKeys) - 1
	if last == 0 {
		return ""
	}
	key := t.APIKeys[last]
	t.APIKeys = t.APIKeys[:last]
	return key
}

// changeKeysOften adds, revokes and moves keys by versions in quick succession.
func (s *soak) changeKeysOften(f fault) {
	for i := range stormVersions {
		[]func(n int){s.addKeyTo, s.revokeKey, s.moveKey}[i%3](f.target + i/3)
		time.Sleep(stormInterval)
	}
}

// revokeDuringCut revokes a key while a third of the VMs can't reach the store. Their
// peers, which can, have to pass the change on to them.
func (s *soak) revokeDuringCut(f fault) {
	for _, n := range s.cutByKeyFault(f) {
		v := s.vms[n]
		v.store.impair(0, false, false, true)
		v.store.reset()
		defer v.store.impair(0, false, false, false)
	}
	time.Sleep(f.duration / 4)
	s.revokeKey(f.target)
	time.Sleep(configApply + f.duration)
}

// revokeDuringOutage revokes a key while no VM can reach the store, for longer than VMs may
// use what they know if they are strict.
func (s *soak) revokeDuringOutage(f fault) {
	s.sim.Store.SetDown(true)
	time.Sleep(f.duration / 4)
	s.revokeKey(f.target)
	time.Sleep(configApply + f.duration)
	s.sim.Store.SetDown(false)
}

// cutByKeyFault returns the VMs that a fault "key-cut" keeps from the store.
func (s *soak) cutByKeyFault(f fault) []int {
	var out []int
	for n := range s.vms {
		if (n+f.target)%3 == 0 {
			out = append(out, n)
		}
	}
	return out
}

// heatOrganisation adds callers of an organisation, which send hotFactor times its usual
// load with those that it has.
func (s *soak) heatOrganisation(f fault) {
	usual := max(len(s.vms)*s.options.Callers/organisationCount/longPauseEvery, 1)
	until := time.Now().Add(2 * f.duration)
	var running sync.WaitGroup
	for i := range (hotFactor - 1) * usual {
		c := s.newCaller(s.vms[i%len(s.vms)], longPauseEvery*i)
		c.organisation, c.until = fmt.Sprintf("org%d", f.target%organisationCount), until
		running.Add(1)
		go c.run(&running)
	}
	running.Wait()
}

// evacuateZone evacuates a failure domain for a while after it has to be in force.
func (s *soak) evacuateZone(f fault) {
	zone := fmt.Sprintf("z%d", f.target%standin.OnceUpstreams)
	if err := s.sim.Evacuate(zone); err != nil {
		s.logf("evacuation of %s: %v", zone, err)
	}
	time.Sleep(evacuateMS*time.Millisecond + 2*f.duration)
	s.sim.Lift(zone)
}

// header returns the key and the headers of a request of the caller.
func (c *caller) header() (key string, h http.Header) {
	h = make(http.Header)
	if c.organisation == "" {
		return "", h
	}
	c.soak.mu.Lock()
	keys := c.soak.keys[c.organisation]
	recent := keys[max(len(keys)-recentKeys, 0):]
	key = keys[0]
	if c.rng.IntN(2) == 0 {
		key = recent[c.rng.IntN(len(recent))]
	}
	c.soak.mu.Unlock()
	switch c.rng.IntN(oddKeyEvery) {
	case 0:
		key = ""
	case 1:
		key = fmt.Sprintf("%snever-%d", keyPrefix, c.rng.IntN(100))
	}
	if key != "" {
		h.Set("X-Credential", key)
	}
	if c.rng.IntN(forgeEvery) == 0 {
		h.Set("X-Tenant", fmt.Sprintf("org%d", c.rng.IntN(organisationCount)))
	}
	return key, h
}

// disturbance is a time in which a VM, or each if vm is negative, may have had no path to
// the store or did not run. It is in progress while to is zero.
type disturbance struct {
	vm       int
	from, to time.Time
}

// allVMs stands for each VM.
const allVMs = -1

// disturb injects a fault and records whether it disturbs VMs. A VM that can't reach the
// store learns of changes from its peers, unless most of them can't either.
func (s *soak) disturb(f fault, inject func(s *soak, f fault)) {
	n := f.target % len(s.vms)
	isolated := []int{n}
	switch f.kind {
	case "store-down", "key-outage":
		defer s.endDisturbance(s.startDisturbance(allVMs))
		isolated = nil
	case "pause":
		defer s.endDisturbance(s.startDisturbance(n))
	case "key-cut":
		isolated = s.cutByKeyFault(f)
	case "store-cut", "store-silent":
	default:
		isolated = nil
	}
	s.isolate(isolated, 1)
	defer s.isolate(isolated, -1)
	inject(s, f)
}

func (s *soak) startDisturbance(vm int) *disturbance {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := &disturbance{vm: vm, from: time.Now()}
	s.disturbances = append(s.disturbances, d)
	return d
}

func (s *soak) endDisturbance(d *disturbance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.to = time.Now()
}

// isolate adds n to the number of faults that keep each of some VMs from relaying the
// store, and records the time in which at most one VM is without.
func (s *soak) isolate(vms []int, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range vms {
		if s.isolated[vm] += n; s.isolated[vm] == 0 {
			delete(s.isolated, vm)
		}
	}
	switch most := len(s.isolated) >= len(s.vms)-1; {
	case most && s.mostIsolated == nil:
		s.mostIsolated = &disturbance{vm: allVMs, from: time.Now()}
		s.disturbances = append(s.disturbances, s.mostIsolated)
	case !most && s.mostIsolated != nil:
		s.mostIsolated.to, s.mostIsolated = time.Now(), nil
	}
}

// keysKnownBefore returns the time before which changes of keys must have been known to a
// VM. With --strict-revoke, a VM that may not know of a change refuses all keys, so that
// disturbances excuse nothing.
func (s *soak) keysKnownBefore(v *vm, at time.Time) time.Time {
	if s.options.StrictRevoke && !s.options.RulesOnly {
		return at.Add(-configApply)
	}
	return s.knownBefore(v, at)
}

// knownBefore returns the time before which changes must have been known to a VM, or to
// all if v is nil, at a time: configApply before it, or before the disturbances that it
// was in or that ended less than that before. With --rules-only, nothing had to be known.
func (s *soak) knownBefore(v *vm, at time.Time) time.Time {
	if s.options.RulesOnly {
		return s.started
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := at.Add(-configApply)
	for _, d := range slices.Backward(s.disturbances) {
		affects := v == nil || d.vm < 0 || d.vm == v.n
		if affects && !d.from.After(at) && (d.to.IsZero() || d.to.After(known)) {
			known = minTime(known, d.from.Add(-configApply))
		}
	}
	return known
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
