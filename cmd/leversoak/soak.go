package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/internal/leverport"
	"arbutuslever.dev/lever/platform/standin"
)

const (
	// calmTime is how long after the last fault the fleet must be whole again,
	// and checkTime how long it is then looked at.
	calmTime  = 6 * time.Second
	checkTime = 2 * time.Second
	// leastServed is the part of the requests that must be served then.
	leastServed = 0.99
	// callGap is the pause between two requests of one caller.
	callGap = 25 * time.Millisecond
	// callWait is how long a caller waits for an answer.
	callWait = time.Second
)

// soak is one run.
type soak struct {
	options *options
	seed    uint64
	world   *standin.World
	vms     []*vm
	proxies map[string]*proxy
	leafIDs []string
	begun   time.Time
	nextID  atomic.Int64
	ending  atomic.Bool

	mu      sync.Mutex
	lines   []string
	broken  []string
	version int
}

// report is the end of a run.
type report struct {
	seed   uint64
	faults []fault
	broken []string
	lines  []string
	served float64
	n      int
}

func (r *report) print(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d faults, %d requests, %.3f served, %d rules broken\n", r.seed, len(r.faults), r.n, r.served, len(r.broken))
	if len(r.broken) == 0 {
		return
	}
	for _, b := range r.broken[:min(len(r.broken), 12)] {
		fmt.Fprintln(w, "  broken:", b)
	}
	for _, f := range r.faults {
		fmt.Fprintln(w, "  fault:", f)
	}
	for _, l := range r.lines {
		fmt.Fprintln(w, "  seen:", l)
	}
}

// runOnce plays faults on a fresh fleet.
func runOnce(o *options, seed uint64, faults []fault) *report {
	s := &soak{options: o, seed: seed, proxies: make(map[string]*proxy), begun: time.Now()}
	r := &report{seed: seed, faults: faults}
	dir, err := os.MkdirTemp("", "leversoak")
	if err != nil {
		r.broken = []string{err.Error()}
		return r
	}
	defer os.RemoveAll(dir)
	if err := s.begin(dir); err != nil {
		r.broken = []string{err.Error()}
	} else {
		s.play(faults)
		s.judge()
		r.served, r.n = s.world.Judge.Served(time.Time{})
		r.broken = s.broken
	}
	s.end()
	r.lines = s.lines
	if len(r.broken) > 0 {
		s.keepLogs(dir)
	}
	return r
}

// listen serves a stand-in behind a proxy that keeps its address.
func (s *soak) listen(name string) (net.Listener, string, error) {
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

func (s *soak) begin(dir string) error {
	var err error
	if s.world, err = standin.NewWorld(s.options.Shards, s.listen); err != nil {
		return err
	}
	s.version = s.world.Config.Version
	for _, l := range s.world.Leafs() {
		s.leafIDs = append(s.leafIDs, l.ID)
	}
	slices.Sort(s.leafIDs)
	var ports [3]int
	for i := range ports {
		if ports[i], err = leverport.Free(0); err != nil {
			return err
		}
	}
	for n := range s.options.VMs {
		v := &vm{n: n, program: s.options.Program, dir: dir, ports: ports, note: s.note}
		if v.store, err = newProxy("127.0.0.1:0"); err != nil {
			return err
		}
		v.store.setTarget(s.world.Address("store"))
		if err := v.writeSettings(standin.RetrySlack); err != nil {
			return err
		}
		s.vms = append(s.vms, v)
	}
	for _, v := range s.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTime)
	for _, v := range s.vms {
		for !v.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("vm%d was not ready within %s", v.n, startTime)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// play sends load and injects the faults, then waits until all is calm.
func (s *soak) play(faults []fault) {
	var callers, playing sync.WaitGroup
	for _, v := range s.vms {
		for range s.options.Callers {
			c := &caller{soak: s, vm: v, client: &http.Client{Transport: &http.Transport{}}}
			callers.Add(1)
			go c.run(&callers)
		}
	}
	begun := time.Now()
	for _, f := range faults {
		time.Sleep(time.Until(begun.Add(f.at)))
		p := &player{soak: s, fault: f}
		playing.Add(1)
		go p.run(&playing)
	}
	playing.Wait()
	time.Sleep(calmTime)
	calm := time.Now()
	time.Sleep(checkTime)
	s.ending.Store(true)
	callers.Wait()
	if part, n := s.world.Judge.Served(calm); part < leastServed && !s.options.Rules {
		s.breaks("%.3f of %d requests were served %s after the last fault, want %.2f", part, n, calmTime, leastServed)
	}
}

// player plays one fault.
type player struct {
	soak  *soak
	fault fault
}

func (p *player) run(wg *sync.WaitGroup) {
	defer wg.Done()
	acts[p.fault.kind](p.soak, p.fault)
}

// caller sends requests of all kinds to one VM on a kept connection, also while
// the VM stops.
type caller struct {
	soak   *soak
	vm     *vm
	client *http.Client
}

func (c *caller) run(wg *sync.WaitGroup) {
	defer wg.Done()
	kinds := []struct{ method, path string }{
		{http.MethodGet, standin.PathAll}, {http.MethodGet, standin.PathOne}, {http.MethodPost, standin.PathPost},
	}
	for i := 0; !c.soak.ending.Load(); i++ {
		k := kinds[i%len(kinds)]
		id := fmt.Sprintf("s%d-%06d", c.soak.seed, c.soak.nextID.Add(1))
		a := standin.Ask(c.client, k.method, "http://"+c.vm.address(0), id, k.path+id, callWait)
		a.Excused = c.soak.options.Rules || c.vm.stoodStill(a.Sent)
		c.soak.world.Judge.Note(a)
		time.Sleep(callGap)
	}
}

// judge checks the rules, that each VM is ready, and that the last
// configuration is in force on all of them.
func (s *soak) judge() {
	s.broken = append(s.broken, s.world.Judge.Violations()...)
	if s.options.Rules {
		return
	}
	path := fmt.Sprintf("/v%d/", s.version)
	for _, v := range s.vms {
		if !v.isReady() {
			s.breaks("vm%d is not ready at the end", v.n)
		}
		if s.version == standinFirst {
			continue
		}
		a := standin.Ask(http.DefaultClient, http.MethodGet, "http://"+v.address(0), fmt.Sprintf("s%d-last-%d", s.seed, v.n), path+"x", callWait)
		if a.Status == http.StatusNotFound || a.Status == 0 {
			s.breaks("vm%d answers %d to a route of version %d", v.n, a.Status, s.version)
		}
	}
}

// standinFirst is the version that a world begins with.
const standinFirst = 3

// changeConfig adds a route that is named after the new version.
func (s *soak) changeConfig(fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	c := &s.world.Config
	c.Version = s.version
	c.Routes = append(c.Routes, standin.Route{
		Name: fmt.Sprintf("v%d", s.version), Host: standin.Host, PathPrefix: fmt.Sprintf("/v%d/", s.version),
		Kind: "safe", TimeoutMS: 1000, ObjectiveMS: 300, MaxAttempts: 2, Service: "once",
	})
	if err := s.world.PutConfig(); err != nil {
		s.lines = append(s.lines, err.Error())
	}
}

// rewriteSettings changes a settings file without a signal, first to one that
// is not valid.
func (s *soak) rewriteSettings(v *vm) {
	if err := os.WriteFile(v.settings(), []byte("{"), 0o600); err != nil {
		s.note("settings: %v", err)
	}
	time.Sleep(3 * time.Second)
	if err := v.writeSettings(standin.RetrySlack - 1); err != nil {
		s.note("settings: %v", err)
	}
}

func (s *soak) wasPaused(v *vm) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.paused
}

func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, fmt.Sprintf("%6.2f s ", time.Since(s.begun).Seconds())+fmt.Sprintf(format, args...))
}

func (s *soak) breaks(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

func (s *soak) end() {
	for _, v := range s.vms {
		v.stop()
	}
	if s.world != nil {
		s.world.Close()
	}
	for _, p := range s.proxies {
		p.close()
	}
}

// keepLogs copies the VMs' logs of a seed that failed.
func (s *soak) keepLogs(dir string) {
	to := filepath.Join(s.options.Logs, fmt.Sprintf("seed-%d", s.seed))
	if err := os.MkdirAll(to, 0o755); err != nil {
		s.note("logs: %v", err)
		return
	}
	if err := os.CopyFS(to, os.DirFS(dir)); err != nil && !os.IsExist(err) {
		s.note("logs: %v", err)
	}
}
