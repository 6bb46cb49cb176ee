package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"arbutuslever.dev/lever/internal/leverport"
	"arbutuslever.dev/lever/platform/standin"
)

const (
	// graceS is the grace period of a stop, in seconds.
	graceS = 6
	// readyTimeout is how long the processes may take to become ready.
	readyTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// vm is an entry VM: one process of the program.
type vm struct {
	n     int
	dir   string
	ports [3]int
	cmd   *exec.Cmd
	done  chan struct{}
}

// ip returns the VM's own loopback address, so that all VMs use the same ports.
func (v *vm) ip() string { return fmt.Sprintf("127.0.2.%d", v.n+1) }

func (v *vm) address(i int) string { return fmt.Sprintf("%s:%d", v.ip(), v.ports[i]) }

func (v *vm) settings() string { return filepath.Join(v.dir, fmt.Sprintf("vm%d.json", v.n)) }

// start starts a process with the command of the deploy file.
func (v *vm) start(program string) error {
	log, err := os.OpenFile(filepath.Join(v.dir, fmt.Sprintf("vm%d.log", v.n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(program, "entry")
	c.Env = append(os.Environ(), "ARBUTUSLEVER_BOOT="+v.settings())
	c.Stdout, c.Stderr = log, log
	// The process ends with this one.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	v.cmd, v.done = c, make(chan struct{})
	w := &waiter{c, v.done}
	go w.run()
	return nil
}

// waiter waits for one process to exit.
type waiter struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func (w *waiter) run() {
	_ = w.cmd.Wait()
	close(w.done)
}

// kill ends the process and waits for its exit.
func (v *vm) kill() {
	if v.cmd != nil {
		_ = v.cmd.Process.Kill()
		<-v.done
	}
}

// isReady asks as the platform's balancer does.
func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + v.address(1) + "/api/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// fleet is some VMs with a store.
type fleet struct {
	program, dir string
	vms          []*vm
}

// bounds are those of the users' small deployments.
func bounds() map[string]any {
	return map[string]any{
		"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000,
		"graceS": graceS, "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "maxStretchMs": 12000,
		"retryRatio": standin.RetryRatio, "retryWindowS": 10, "retrySlack": standin.RetrySlack, "recoveryS": 12,
	}
}

// zoneOf returns the failure domain of a VM.
func zoneOf(n int) string { return fmt.Sprintf("z%d", n%3) }

// newFleet writes the settings of some VMs whose store is at an address. All of them
// start for the first time. more are further bounds.
func newFleet(program, dir string, vms int, store string, more map[string]any) (*fleet, error) {
	port, err := leverport.FindFree(0, 1, 2)
	if err != nil {
		return nil, err
	}
	f := &fleet{program: program, dir: dir}
	all := bounds()
	maps.Copy(all, more)
	contracts := []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"}
	if all["quotaWindowS"] != nil {
		contracts = append(contracts, "tenants", "quota")
	}
	seeds := make([]string, 0, vms)
	for n := range vms {
		v := &vm{n: n, dir: dir, ports: [3]int{port, port + 1, port + 2}}
		f.vms = append(f.vms, v)
		if len(seeds) < 3 {
			seeds = append(seeds, v.address(2))
		}
	}
	for _, v := range f.vms {
		b, err := json.Marshal(map[string]any{
			"node": fmt.Sprintf("front-%s-%d", zoneOf(v.n), v.n), "role": "entry", "machineClass": "front",
			"serves": []string{"front", "control"}, "ip": v.ip(), "zone": zoneOf(v.n), "region": "r0",
			"zones":             map[string]string{"z0": "r0", "z1": "r0", "z2": "r0"},
			"listen":            map[string]string{"front": v.address(0), "ready": v.address(1), "control": v.address(2)},
			"internalPortRange": []int{7380, 7395}, "seeds": seeds, "bootstrap": true, "inTolerance": false,
			"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
			"contracts":      contracts,
			"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0}, "bounds": all,
			"platform": map[string]any{"address": store, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "minTtlMs": 1000},
		})
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(v.settings(), b, 0o600); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// start starts all VMs and waits until they are ready.
func (f *fleet) start() error {
	for _, v := range f.vms {
		if err := v.start(f.program); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

func (f *fleet) awaitReady() error {
	until := time.Now().Add(readyTimeout)
	for _, v := range f.vms {
		for !v.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("VM %d is not ready", v.n)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

func (f *fleet) stop() {
	for _, v := range f.vms {
		v.kill()
	}
}

// listen opens a listener on a free loopback port.
func listen(string) (net.Listener, string, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	return ln, ln.Addr().String(), nil
}
