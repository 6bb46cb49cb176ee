package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"arbutuslever.dev/lever/platform"
	"arbutuslever.dev/lever/platform/standin"
)

const (
	// graceS is the time that a stopping process has, in seconds.
	graceS = 3
	// startTime is how long a process may take to be ready.
	startTime = 6 * time.Second
)

// vm is one VM: a process of the program and its store's proxy.
type vm struct {
	n       int
	program string
	dir     string
	ports   [3]int
	store   *proxy
	note    func(format string, args ...any)

	mu  sync.Mutex
	cmd *exec.Cmd
	// gone is closed when the present process has ended.
	gone chan struct{}
	log  *os.File
	// A paused process is not expected to answer.
	paused bool
	// pausedTill is when the last pause ended.
	pausedTill time.Time
}

// ip gives each VM a loopback address of its own, so that all use the same
// ports.
func (v *vm) ip() string { return fmt.Sprintf("127.0.1.%d", v.n+1) }

func (v *vm) address(i int) string { return fmt.Sprintf("%s:%d", v.ip(), v.ports[i]) }

func (v *vm) settings() string { return filepath.Join(v.dir, fmt.Sprintf("vm%d.json", v.n)) }

// writeSettings writes the platform's settings file.
func (v *vm) writeSettings(retrySlack int) error {
	s := standin.Settings{
		Name: fmt.Sprintf("vm%d", v.n), IP: v.ip(), Zone: fmt.Sprintf("z%d", v.n%2),
		Front: v.address(0), Ready: v.address(1), Peer: v.address(2),
		Peers: []string{fmt.Sprintf("127.0.1.1:%d", v.ports[2]), fmt.Sprintf("127.0.1.2:%d", v.ports[2])},
		Store: v.store.address(), RetrySlack: retrySlack, GraceS: graceS,
		CPUShare: 0.4, Memory: 284, DrainMS: 3000, ConfigMS: 3000, WritesPerS: 400, ReadPerS: 2000,
	}
	return s.Write(v.settings())
}

func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	var err error
	if v.log == nil {
		if v.log, err = os.Create(filepath.Join(v.dir, fmt.Sprintf("vm%d.log", v.n))); err != nil {
			return err
		}
	}
	c := exec.Command(v.program, "entry")
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+v.settings())
	c.Stdout, c.Stderr = v.log, v.log
	if err := c.Start(); err != nil {
		return err
	}
	v.cmd, v.gone = c, make(chan struct{})
	v.paused = false
	w := &waiter{vm: v, cmd: c, gone: v.gone}
	go w.run()
	return nil
}

// waiter waits for the end of one process.
type waiter struct {
	vm   *vm
	cmd  *exec.Cmd
	gone chan struct{}
}

func (w *waiter) run() {
	if err := w.cmd.Wait(); err != nil {
		w.vm.note("vm%d ended: %v", w.vm.n, err)
	}
	close(w.gone)
}

// signal sends a signal to the process that this VM started, and to no other.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.paused = s == syscall.SIGSTOP || v.paused && s != syscall.SIGCONT && s != syscall.SIGKILL
	if s == syscall.SIGCONT {
		v.pausedTill = time.Now()
	}
	if v.cmd != nil {
		// A process that has ended needs no signal.
		_ = v.cmd.Process.Signal(s)
	}
}

// restart ends the process with a signal, waits for its end and starts it
// again. It reports whether the process ended by itself within the grace.
func (v *vm) restart(s syscall.Signal, down time.Duration) bool {
	v.mu.Lock()
	gone := v.gone
	v.mu.Unlock()
	v.signal(s)
	inTime := true
	select {
	case <-gone:
	case <-time.After(graceS*time.Second + time.Second):
		inTime = false
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		<-gone
	}
	time.Sleep(down)
	if err := v.start(); err != nil {
		v.note("vm%d can't be started: %v", v.n, err)
	}
	return inTime
}

// stoodStill reports whether the process was paused at or after a time.
func (v *vm) stoodStill(since time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.paused || v.pausedTill.After(since)
}

func (v *vm) stop() {
	v.mu.Lock()
	gone := v.gone
	v.mu.Unlock()
	if gone != nil {
		v.signal(syscall.SIGCONT)
		v.signal(syscall.SIGKILL)
		<-gone
	}
	v.store.close()
}

// isReady asks as the balancer does.
func (v *vm) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	w, err := c.Get("http://" + v.address(1) + "/api/ready")
	if err != nil {
		return false
	}
	_ = w.Body.Close()
	return w.StatusCode == http.StatusOK
}
