package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

const (
	// program and role are the command of the deploy file.
	program = "target/arbutuslever"
	role    = "entry"
	// stableWindow is the bound stableWindowMs.
	stableWindow = 4 * time.Second
	graceS       = 6
)

// fleet is the store and the program's processes.
type fleet struct {
	dir    string
	record *record
	store  *standin.Store
	// prefix is the loopback network of the run, without the last number.
	prefix       string
	storeAddress string
	ports        [3]int
	vms          []*vm
	leaves       []*leaf

	configVersion int
}

// newFleet starts the store.
func newFleet(dir string, rec *record) (*fleet, error) {
	f := &fleet{dir: dir, record: rec, store: &standin.Store{}, configVersion: 3}
	pid := os.Getpid()
	f.prefix = fmt.Sprintf("127.%d.%d", 16+pid/250%200, 1+pid%250)
	for i := range f.ports {
		ln, err := net.Listen("tcp4", f.prefix+".1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		f.ports[i] = ln.Addr().(*net.TCPAddr).Port
	}
	ln, err := net.Listen("tcp4", f.prefix+".200:0")
	if err != nil {
		return nil, err
	}
	f.storeAddress = ln.Addr().String()
	s := &storeServer{server: &http.Server{Handler: f.store}}
	go s.run(ln)
	return f, nil
}

type storeServer struct{ server *http.Server }

func (s *storeServer) run(ln net.Listener) { _ = s.server.Serve(ln) }

// vm is one machine of the system with its process.
type vm struct {
	fleet *fleet
	n     int

	mu  sync.Mutex
	cmd *exec.Cmd
	log *os.File
}

func (v *vm) ip() string              { return fmt.Sprintf("%s.%d", v.fleet.prefix, v.n+1) }
func (v *vm) name() string            { return fmt.Sprintf("front-%d", v.n+1) }
func (v *vm) address(port int) string { return fmt.Sprintf("%s:%d", v.ip(), v.fleet.ports[port]) }
func (v *vm) front() string           { return v.address(0) }
func (v *vm) settingsPath() string    { return filepath.Join(v.fleet.dir, v.name()+".json") }

// startVMs starts n processes and waits until all are ready.
func (f *fleet) startVMs(n int) error {
	for i := range n {
		f.vms = append(f.vms, &vm{fleet: f, n: i})
	}
	for _, v := range f.vms {
		if err := v.writeSettings(); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	until := time.Now().Add(10 * time.Second)
	for _, v := range f.vms {
		for !v.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after 10 s", v.name())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.say("%d processes are ready", n)
	return nil
}

// writeSettings writes the settings of the deployment linbump-search.
func (v *vm) writeSettings() error {
	f := v.fleet
	zones := []string{"taoyuan", "hsinchu", "keelung"}
	var seeds []string
	for i := range min(3, len(f.vms)) {
		seeds = append(seeds, f.vms[i].address(2))
	}
	b, err := json.MarshalIndent(map[string]any{
		"node": v.name(), "role": role, "machineClass": "front", "serves": []string{"front", "control"},
		"ip": v.ip(), "zone": zones[v.n%3], "region": "tw-north",
		"zones":             map[string]string{"taoyuan": "tw-north", "hsinchu": "tw-north", "keelung": "tw-north"},
		"listen":            map[string]string{"front": v.address(0), "ready": v.address(1), "control": v.address(2)},
		"internalPortRange": []int{7380, 7395}, "seeds": seeds, "bootstrap": true, "inTolerance": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000,
			"graceS": graceS, "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "maxStretchMs": 12000,
			"retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 54, "recoveryS": 12,
		},
		"platform": map[string]any{
			"address": f.storeAddress, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
			"valueBytes": 1048576, "minTtlMs": 1000,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(v.settingsPath(), b, 0o600)
}

func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	var err error
	if v.log == nil {
		if v.log, err = os.Create(filepath.Join(v.fleet.dir, v.name()+".log")); err != nil {
			return err
		}
	}
	c := exec.Command(program, role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ARBUTUSLEVER_BOOT=" + v.settingsPath()}
	c.Stdout, c.Stderr = v.log, v.log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	v.cmd = c
	v.fleet.record.say("%s starts, callers at %s", v.name(), v.front())
	return nil
}

func (v *vm) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + v.address(1) + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends the processes and the leaves.
func (f *fleet) stop() {
	for _, v := range f.vms {
		v.mu.Lock()
		if v.cmd != nil {
			_ = v.cmd.Process.Kill()
			_ = v.cmd.Wait()
		}
		if v.log != nil {
			_ = v.log.Close()
		}
		v.mu.Unlock()
		if dir := os.Getenv("KEEP_LOGS"); dir != "" {
			if b, err := os.ReadFile(filepath.Join(f.dir, v.name()+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(dir, v.name()+".log"), b, 0o600)
			}
		}
	}
	for _, l := range f.leaves {
		l.crash()
	}
}

// putConfig writes the configuration as the operator does.
func (f *fleet) putConfig(routes []standin.Route, services []standin.Service) error {
	f.configVersion += 2
	return f.store.Put("config", "main", standin.Config{
		Version: f.configVersion, Routes: routes, Services: services,
		Limits: map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}
