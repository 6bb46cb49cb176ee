package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"arbutuslever.dev/lever/internal/leverport"
	"arbutuslever.dev/lever/platform"
	"arbutuslever.dev/lever/platform/standin"
)

// program is the build of the deploy file.
const program = "target/arbutuslever"

// Bounds of a small deployment, as the site files state them.
const (
	drainMS       = 3000
	configApplyMS = 3000
	graceS        = 6
	configApply   = configApplyMS * time.Millisecond
	readyWithin   = 12 * time.Second
)

// vm is one machine of the system: a process of the program.
type vm struct {
	name     string
	ip       string
	ports    [3]int
	settings string
	log      *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func (v *vm) front() string { return fmt.Sprintf("%s:%d", v.ip, v.ports[0]) }

// fleet is the machines of a case.
type fleet struct {
	dir string
	vms []*vm
}

// startFleet starts n machines that use the store at an address, and waits until all of
// them are ready.
func startFleet(n int, store string, bounds map[string]any) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir}
	f.stopOnSignal()
	port, err := leverport.FindFree(0, 1, 2)
	if err != nil {
		return f, err
	}
	net := 40 + os.Getpid()%200
	ip := func(i int) string { return fmt.Sprintf("127.0.%d.%d", net, i+1) }
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip(i), port+2))
	}
	for i := range n {
		v := &vm{name: fmt.Sprintf("front-z%d-%d", i%3, i), ip: ip(i), ports: [3]int{port, port + 1, port + 2}, settings: filepath.Join(dir, fmt.Sprintf("vm%d.json", i))}
		s := standin.Settings{
			Name: v.name, IP: v.ip, Zone: fmt.Sprintf("z%d", i%3), Front: v.front(),
			Ready: fmt.Sprintf("%s:%d", v.ip, port+1), Control: fmt.Sprintf("%s:%d", v.ip, port+2),
			Seeds: seeds, Store: store, RetrySlack: 54, GraceS: graceS, CPUShare: 0.4, MemoryMB: 284,
			DrainMS: drainMS, ConfigApplyMS: configApplyMS, WritesPerS: 400, ReadsPerS: 2000, Bounds: bounds,
		}
		if err := s.Write(v.settings); err != nil {
			return f, err
		}
		if v.log, err = os.Create(filepath.Join(dir, fmt.Sprintf("vm%d.log", i))); err != nil {
			return f, err
		}
		f.vms = append(f.vms, v)
	}
	for _, v := range f.vms {
		if err := v.start(); err != nil {
			return f, err
		}
	}
	until := time.Now().Add(readyWithin)
	for _, v := range f.vms {
		for !v.ready() {
			if time.Now().After(until) {
				return f, fmt.Errorf("%s is not ready within %s", v.name, readyWithin)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return f, nil
}

func (v *vm) start() error {
	c := exec.Command(program, "entry")
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settings)
	c.Stdout, c.Stderr = v.log, v.log
	if err := c.Start(); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cmd, v.exited = c, make(chan struct{})
	go (&waiter{c, v.exited}).run()
	return nil
}

// waiter waits for the end of a process.
type waiter struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func (w *waiter) run() {
	// The exit status says nothing here: cases kill processes.
	_ = w.cmd.Wait()
	close(w.exited)
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	// An error means that the process has exited.
	_ = v.cmd.Process.Signal(s)
}

func (v *vm) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/api/ready", v.ip, v.ports[1]))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stopOnSignal ends all processes if the case is told to end.
func (f *fleet) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go (&stopper{f, signals}).run()
}

// stopper ends a fleet at the first signal.
type stopper struct {
	fleet   *fleet
	signals <-chan os.Signal
}

func (s *stopper) run() {
	<-s.signals
	s.fleet.stop()
	os.Exit(failed)
}

// stop ends all processes and removes the folder.
func (f *fleet) stop() {
	for _, v := range f.vms {
		if v.cmd == nil {
			continue
		}
		v.signal(syscall.SIGKILL)
		<-v.exited
	}
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "logs:", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}
