package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverport"
	"arbutuslever.dev/lever/platform/standin"
)

const (
	// recoveryTime is the time after the last fault in which the fleet must
	// recover. During observeTime after it, served requests are counted.
	recoveryTime = 6 * time.Second
	observeTime  = 2 * time.Second
	// minServed is the minimum fraction of requests that must be served during
	// observeTime.
	minServed      = 0.99
	requestTimeout = time.Second
	// slowReaderEvery says that each such caller of a VM reads slowly, with a small
	// receive buffer, in bytes, and a pause before each read.
	slowReaderEvery = 4
	slowReadBuffer  = 4 << 10
	slowReadPause   = 2 * time.Millisecond
)

// soak is the state of one run of a seed.
type soak struct {
	options *options
	seed    uint64
	// sim is the simulated platform, ids are those of its upstreams.
	sim      *standin.Platform
	front    storeFront
	vms      []*vm
	proxies  map[string]*proxy
	ids      []string
	started  time.Time
	nextID   atomic.Int64
	stopping atomic.Bool
	// calm is set from when the fleet has recovered from the last fault on.
	calm atomic.Bool

	mu         sync.Mutex
	events     []string
	violations []string
	version    int
	// routeVersion is the last version that has added a route.
	routeVersion int
	// keys are all that each organisation has had, keyCount is their number.
	keys         map[string][]string
	keyCount     int
	disturbances []*disturbance
	// isolated counts the faults that keep each VM from relaying the store, mostIsolated
	// is the present time in which that is so for all VMs but one.
	isolated     map[int]int
	mostIsolated *disturbance
}

// report is the result of a run.
type report struct {
	seed       uint64
	faults     []fault
	violations []string
	events     []string
	served     float64
	requests   int
}

func (r *report) print(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d faults, %d requests, %.3f served, %d rules broken\n", r.seed, len(r.faults), r.requests, r.served, len(r.violations))
	if len(r.violations) == 0 {
		return
	}
	for _, v := range r.violations[:min(len(r.violations), 12)] {
		fmt.Fprintln(w, "  broken:", v)
	}
	for _, f := range r.faults {
		fmt.Fprintln(w, "  fault:", f)
	}
	for _, e := range r.events {
		fmt.Fprintln(w, "  seen:", e)
	}
}

// runOnce starts a new fleet, runs the faults on it and stops it.
func runOnce(o *options, seed uint64, faults []fault) *report {
	s := &soak{options: o, seed: seed, proxies: make(map[string]*proxy), keys: make(map[string][]string), isolated: make(map[int]int), started: time.Now()}
	r := &report{seed: seed, faults: faults}
	dir, err := os.MkdirTemp("", "leversoak")
	if err != nil {
		r.violations = []string{err.Error()}
		return r
	}
	defer os.RemoveAll(dir)
	if err := s.setUp(dir); err != nil {
		r.violations = []string{err.Error()}
	} else {
		s.runFaults(faults)
		s.verify()
		r.served, r.requests = s.sim.Checker.SuccessRatio(time.Time{})
		r.violations = s.violations
	}
	s.tearDown()
	r.events = s.events
	if len(r.violations) > 0 || o.KeepLogs {
		s.saveLogs(dir)
	}
	return r
}

// listenBehindProxy returns a listener for a simulated service and the address
// of the proxy in front of it. The address stays the same when the service is
// restarted.
func (s *soak) listenBehindProxy(name string) (net.Listener, string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	p := s.proxies[name]
	if p == nil {
		if p, err = newProxy("127.0.0.1:0"); err != nil {
			return nil, "", err
		}
		s.proxies[name] = p
	}
	p.setTarget(ln.Addr().String())
	return ln, p.address(), nil
}

func (s *soak) setUp(dir string) error {
	var err error
	if s.sim, err = standin.NewPlatform(s.options.Shards, s.listenBehindProxy); err != nil {
		return err
	}
	s.version = s.sim.Config.Version
	for _, u := range s.sim.Upstreams() {
		s.ids = append(s.ids, u.ID)
	}
	slices.Sort(s.ids)
	s.sim.Checker.ConfigApply = configApply
	if s.options.hasOrganisations(s.seed) {
		if err := s.setUpOrganisations(); err != nil {
			return err
		}
	}
	// Ports found one by one could be the same.
	port, err := leverport.FindFree(0, 1, 2)
	if err != nil {
		return err
	}
	ports := [3]int{port, port + 1, port + 2}
	if s.front.ln, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return err
	}
	for n := range s.options.VMs {
		v := &vm{storeAddress: s.front.ln.Addr().String(), n: n, program: s.options.Program, dir: dir, ports: ports, graceS: s.options.GraceS, procs: s.options.VMProcs, bounds: s.bounds(), logf: s.logf}
		if v.store, err = newProxy("127.0.0.1:0"); err != nil {
			return err
		}
		v.store.setTarget(s.sim.Address("store"))
		if s.options.Link > 0 {
			if v.balancer, err = newProxy("127.0.0.1:0"); err != nil {
				return err
			}
			v.balancer.setTarget(v.address(0))
			v.balancer.impair(s.options.Link, false, false, false)
		}
		if err := v.writeSettings(standin.RetrySlack); err != nil {
			return err
		}
		s.vms = append(s.vms, v)
	}
	s.front.vms = s.vms
	go s.front.run()
	for _, v := range s.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, v := range s.vms {
		for !v.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("vm%d did not become ready within %s", v.n, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// runFaults sends load and injects the faults, waits for the fleet to recover
// and checks the fraction of served requests.
func (s *soak) runFaults(faults []fault) {
	var callers, running sync.WaitGroup
	for _, v := range s.vms {
		for i := range s.options.Callers {
			c := s.newCaller(v, i)
			if s.options.hasOrganisations(s.seed) {
				c.organisation = fmt.Sprintf("org%d", (v.n+i)%organisationCount)
			}
			callers.Add(1)
			go c.run(&callers)
		}
	}
	start := time.Now()
	for _, f := range faults {
		time.Sleep(time.Until(start.Add(f.at)))
		p := &faultRunner{soak: s, fault: f}
		running.Add(1)
		go p.run(&running)
	}
	running.Wait()
	time.Sleep(recoveryTime)
	s.calm.Store(true)
	recovered := time.Now()
	time.Sleep(observeTime)
	s.stopping.Store(true)
	callers.Wait()
	if served, n := s.sim.Checker.SuccessRatio(recovered); served < minServed && !s.options.RulesOnly {
		s.violationf("%.3f of %d requests were served %s after the last fault, want %.2f", served, n, recoveryTime, minServed)
	}
}

// newCaller returns a caller of a VM.
func (s *soak) newCaller(v *vm, number int) *caller {
	c := &caller{soak: s, vm: v, number: number, rng: rand.New(rand.NewPCG(s.seed, uint64(v.n*s.options.Callers+number)))}
	c.connection.Address = v.callerAddress()
	if number%slowReaderEvery == 1 {
		c.connection.ReadBuffer, c.connection.ReadPause = slowReadBuffer, slowReadPause
	}
	return c
}

// faultRunner injects one fault concurrently with others.
type faultRunner struct {
	soak  *soak
	fault fault
}

func (r *faultRunner) run(wg *sync.WaitGroup) {
	defer wg.Done()
	for _, known := range []map[string]func(s *soak, f fault){injectors, stopInjectors, blockInjectors, organisationInjectors} {
		if inject := known[r.fault.kind]; inject != nil {
			r.soak.disturb(r.fault, inject)
		}
	}
}

// verify collects the violated rules and checks that each VM is ready and has
// the last configuration in force.
func (s *soak) verify() {
	s.violations = append(s.violations, s.sim.Checker.Violations()...)
	s.checkLogs()
	if s.options.RulesOnly {
		return
	}
	path := fmt.Sprintf("/v%d/", s.routeVersion)
	for _, v := range s.vms {
		if !v.isReady() {
			s.violationf("vm%d is not ready at the end", v.n)
		}
		if s.routeVersion == 0 {
			continue
		}
		a := standin.SendRequest(http.DefaultClient, http.MethodGet, "http://"+v.address(0), fmt.Sprintf("s%d-last-%d", s.seed, v.n), path+"x", requestTimeout)
		if a.Status == http.StatusNotFound || a.Status == http.StatusServiceUnavailable || a.Status == 0 {
			s.violationf("vm%d answers %d to a route of version %d", v.n, a.Status, s.routeVersion)
		}
	}
}

// changeConfig submits a new configuration version with an additional route
// that is named after the version.
func (s *soak) changeConfig(fault) {
	s.updateConfig(func(c *standin.Config) {
		s.routeVersion = s.version
		c.Routes = append(c.Routes, standin.Route{
			Name: fmt.Sprintf("v%d", s.version), Host: standin.Host, PathPrefix: fmt.Sprintf("/v%d/", s.version), Public: len(c.Tenants) > 0,
			Kind: "safe", TimeoutMS: 1000, ObjectiveMS: 300, MaxAttempts: 2, Service: "once",
		})
	})
}

// updateConfig changes the configuration and submits it as a new version.
func (s *soak) updateConfig(change func(c *standin.Config)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.sim.Config.Version = s.version
	change(&s.sim.Config)
	if err := s.sim.PutConfig(); err != nil {
		s.events = append(s.events, err.Error())
	}
}

// rewriteSettings replaces a settings file without sending a signal, first by an
// invalid file and then by a valid one.
func (s *soak) rewriteSettings(v *vm) {
	if err := os.WriteFile(v.settingsPath(), []byte("{"), 0o600); err != nil {
		s.logf("settings: %v", err)
	}
	time.Sleep(3 * time.Second)
	if err := v.writeSettings(standin.RetrySlack - 1); err != nil {
		s.logf("settings: %v", err)
	}
}

func (s *soak) isPaused(v *vm) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.paused
}

func (s *soak) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%6.2f s ", time.Since(s.started).Seconds())+fmt.Sprintf(format, args...))
}

func (s *soak) violationf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *soak) tearDown() {
	for _, v := range s.vms {
		v.stop()
	}
	if s.sim != nil {
		s.sim.Close()
	}
	for _, p := range s.proxies {
		p.close()
	}
	if s.front.ln != nil {
		_ = s.front.ln.Close()
	}
}
