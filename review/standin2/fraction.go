package main

import (
	"encoding/json"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

func init() { cases["fraction"] = runFraction }

const (
	fractionVMs = 3
	// fractionTries is how often the platform starts a process that has ended.
	fractionTries = 3
	startPause    = time.Second
)

// runFraction changes a bound in the settings files, and restarts the VMs in turn.
func runFraction(r *review) (bool, error) {
	p, err := standin.NewPlatform(4, listen)
	if err != nil {
		return false, err
	}
	defer p.Close()
	f, err := newFleet(r.program, r.dir, fractionVMs, p.Address("store"), nil)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	ids := &atomic.Int64{}
	before := f.serve(r, ids)
	r.logf("before: %d of %d VMs serve", before, fractionVMs)
	drain := json.Number("2500")
	if r.trouble {
		drain = "2500.5"
	}
	for _, v := range f.vms {
		if err := v.setBound("drainMs", drain); err != nil {
			return false, err
		}
		if err := v.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return false, err
		}
		r.logf("VM %d gets SIGHUP: drainMs is %s", v.n, drain)
	}
	time.Sleep(startPause)
	for _, v := range f.vms {
		r.logf("VM %d gets SIGTERM", v.n)
		if err := v.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		<-v.done
		for try := range fractionTries {
			if err := v.start(r.program); err != nil {
				return false, err
			}
			if v.stays() {
				break
			}
			r.logf("VM %d, start %d: the process has ended: %s", v.n, try+1, v.cmd.ProcessState)
			time.Sleep(startPause)
		}
	}
	after := f.serve(r, ids)
	r.logf("after: %d of %d VMs serve", after, fractionVMs)
	return after == 0 && before > 0, nil
}

// stays waits until the VM is ready, and returns false if its process ends before.
func (v *vm) stays() bool {
	until := time.Now().Add(readyTimeout)
	for !v.isReady() && time.Now().Before(until) {
		select {
		case <-v.done:
			return false
		case <-time.After(pollInterval):
		}
	}
	return true
}

// setBound replaces a bound in the settings file.
func (v *vm) setBound(name string, value json.Number) error {
	b, err := os.ReadFile(v.settings())
	if err != nil {
		return err
	}
	var s map[string]any
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	s["bounds"].(map[string]any)[name] = value
	if b, err = json.Marshal(s); err != nil {
		return err
	}
	return os.WriteFile(v.settings(), b, 0o600)
}

// serve sends a request to each VM and returns the number of those that were served.
func (f *fleet) serve(r *review, ids *atomic.Int64) int {
	n := 0
	for _, v := range f.vms {
		if _, status := newCaller(r, v, ids).send(call{http.MethodGet, standin.PathAll + "x", "", standin.Timeout, ""}); status == http.StatusOK {
			n++
		}
	}
	return n
}
