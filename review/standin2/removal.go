package main

import (
	"syscall"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

func init() { cases["removal"] = runRemoval }

const (
	removalVMs = 7
	// removed is the number of VMs that leave for good, one removalGap after the other.
	removed    = 5
	removalGap = 1500 * time.Millisecond
	// listedTime is the time in which all VMs have read the list of VMs.
	listedTime    = 8 * time.Second
	removalLength = 45 * time.Second
	// recovery is recoveryS.
	recovery = 12 * time.Second
)

// runRemoval stops most of the VMs in turn, which leave for good.
func runRemoval(r *review) (bool, error) {
	p, err := standin.NewPlatform(4, listen)
	if err != nil {
		return false, err
	}
	defer p.Close()
	if err := p.RequireKeys(twoTenants); err != nil {
		return false, err
	}
	f, err := newFleet(r.program, r.dir, removalVMs, p.Address("store"), quotaBounds)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(listedTime)
	left := f.vms[removed:]
	before := sendAsTenants(r, left, 10*time.Second)
	r.logf("before: %s", before)
	for _, v := range f.vms[:removed] {
		if !r.trouble {
			break
		}
		r.logf("VM %d gets SIGTERM and leaves", v.n)
		if err := v.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		time.Sleep(removalGap)
	}
	if r.trouble {
		for _, v := range f.vms[:removed] {
			<-v.done
			r.logf("VM %d has ended: %s", v.n, v.cmd.ProcessState)
		}
	}
	time.Sleep(recovery)
	after := sendAsTenants(r, left, removalLength)
	r.logf("after: %s", after)
	r.logf("requests run by upstreams in all, by tenant: %v", runsByTenant(p))
	return after.starved(), nil
}
