package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"arbutuslever.dev/lever/platform"
	"arbutuslever.dev/lever/platform/standin"
)

// configApply is the time in which a VM must apply a configuration.
const configApply = 3 * time.Second

// readyTimeout is how long the processes may take to become ready.
const readyTimeout = 6 * time.Second

// vm is one simulated VM: a process of the program and the proxy through which
// it reaches the store.
type vm struct {
	n       int
	program string
	dir     string
	ports   [3]int
	// graceS is the grace period of a terminating process, in seconds.
	graceS int
	store  *proxy
	// storeAddress is the address of the store for all VMs.
	storeAddress string
	// balancer is the proxy between callers and the VM, or nil.
	balancer *proxy
	// procs is GOMAXPROCS of the process, or 0.
	procs int
	// bounds are further bounds of the settings.
	bounds map[string]any
	// slow is the number of requests to the service "slow" in flight.
	slow atomic.Int64
	logf func(format string, args ...any)

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the current process has exited.
	exited chan struct{}
	log    *os.File
	// starts is the number of processes so far.
	starts int
	// paused is set while the process is stopped by SIGSTOP and can't answer.
	paused bool
	// resumedAt is when the last pause ended.
	resumedAt time.Time
	// stopping is set from the first SIGTERM to a process until the next one starts.
	// terminatedAt is when that SIGTERM was sent.
	stopping     bool
	terminatedAt time.Time
}

// callerAddress returns the address that callers connect to.
func (v *vm) callerAddress() string {
	if v.balancer != nil {
		return v.balancer.address()
	}
	return v.address(0)
}

// stoppedBefore returns when SIGTERM was sent, if the time at is in the grace period
// or the second after it, and the grace period.
func (v *vm) stoppedBefore(at time.Time) (time.Time, time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	grace := time.Duration(v.graceS) * time.Second
	if at.Before(v.terminatedAt) || at.After(v.terminatedAt.Add(grace+time.Second)) {
		return time.Time{}, grace
	}
	return v.terminatedAt, grace
}

// ip returns the VM's own loopback address. Separate addresses let all VMs use
// the same ports.
func (v *vm) ip() string { return fmt.Sprintf("127.0.1.%d", v.n+1) }

func (v *vm) address(i int) string { return fmt.Sprintf("%s:%d", v.ip(), v.ports[i]) }

func (v *vm) settingsPath() string { return filepath.Join(v.dir, fmt.Sprintf("vm%d.json", v.n)) }

// writeSettings writes the VM's settings file in the format of the platform.
func (v *vm) writeSettings(retrySlack int) error {
	s := standin.Settings{
		Name: fmt.Sprintf("vm%d", v.n), IP: v.ip(), Zone: fmt.Sprintf("z%d", v.n%2),
		Front: v.address(0), Ready: v.address(1), Control: v.address(2),
		Seeds: []string{fmt.Sprintf("127.0.1.1:%d", v.ports[2]), fmt.Sprintf("127.0.1.2:%d", v.ports[2])},
		Store: v.storeAddress, RetrySlack: retrySlack, GraceS: v.graceS,
		CPUShare: 0.4, MemoryMB: 284, DrainMS: 3000, ConfigApplyMS: int(configApply.Milliseconds()), WritesPerS: 400, ReadsPerS: 2000,
		Bounds: v.bounds,
	}
	return s.Write(v.settingsPath())
}

func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.startLocked()
}

// startLocked starts a process. The caller holds the mutex.
func (v *vm) startLocked() error {
	var err error
	if v.log == nil {
		if v.log, err = os.Create(filepath.Join(v.dir, fmt.Sprintf("vm%d.log", v.n))); err != nil {
			return err
		}
	}
	c := exec.Command(v.program, "entry")
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settingsPath())
	if v.procs > 0 {
		c.Env = append(c.Env, fmt.Sprintf("GOMAXPROCS=%d", v.procs))
	}
	c.Stdout, c.Stderr = v.log, v.log
	if err := c.Start(); err != nil {
		return err
	}
	v.cmd, v.exited = c, make(chan struct{})
	v.paused, v.stopping = false, false
	v.starts++
	w := &waiter{vm: v, cmd: c, exited: v.exited}
	go w.run()
	return nil
}

// waiter waits for one process to exit.
type waiter struct {
	vm     *vm
	cmd    *exec.Cmd
	exited chan struct{}
}

func (w *waiter) run() {
	if err := w.cmd.Wait(); err != nil {
		w.vm.logf("vm%d exited: %v", w.vm.n, err)
	}
	close(w.exited)
}

// signal sends a signal to the VM's own process and tracks whether it is paused.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.paused = s == syscall.SIGSTOP || v.paused && s != syscall.SIGCONT && s != syscall.SIGKILL
	if s == syscall.SIGCONT {
		v.resumedAt = time.Now()
	}
	if s == syscall.SIGTERM && !v.stopping {
		v.stopping, v.terminatedAt = true, time.Now()
	}
	if v.cmd != nil {
		// The error for a process that has already exited is ignored.
		_ = v.cmd.Process.Signal(s)
	}
}

// restart sends s to the process, waits for its exit and starts a new one after
// a pause. It reports whether the process exited within the grace period; after
// that and one more second, the process is killed.
func (v *vm) restart(s syscall.Signal, pause time.Duration) bool {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	v.signal(s)
	inTime := true
	select {
	case <-exited:
	case <-time.After(time.Duration(v.graceS)*time.Second + time.Second):
		inTime = false
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		<-exited
	}
	time.Sleep(pause)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.exited != exited {
		// Another restart, which overlaps with this one, has started it.
		return inTime
	}
	if err := v.startLocked(); err != nil {
		v.logf("vm%d failed to start: %v", v.n, err)
	}
	return inTime
}

// pausedSince reports whether the process was paused at any time after since.
func (v *vm) pausedSince(since time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.paused || v.resumedAt.After(since)
}

// process identifies the current process.
func (v *vm) process() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return fmt.Sprintf("vm%d/%d", v.n, v.starts)
}

// stop kills the process, waits for its exit and closes the proxy.
func (v *vm) stop() {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	if exited != nil {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		<-exited
	}
	v.store.close()
	if v.balancer != nil {
		v.balancer.close()
	}
}

// isReady sends the same readiness request as the platform's load balancer.
func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + v.address(1) + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
