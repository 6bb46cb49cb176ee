package main

import (
	"net/http"
	"sync/atomic"
	"time"

	"arbutuslever.dev/lever/platform/standin"
)

func init() { cases["forget"] = runForget }

const (
	forgetVMs = 6
	// forgetPause is the time after which the caller sends the request again, to the next
	// VM.
	forgetPause = 6 * time.Second
	// forgetSends is the number of sends before the first kill and after each.
	forgetSends = 4
	// forgetKills is how often all processes are killed at the same moment.
	forgetKills = 2
	// killPause is the short delay after which a killed process is started again.
	killPause = 500 * time.Millisecond
)

// runForget sends one request that crashes upstreams again and again, to one VM after the
// other, and kills all processes now and then.
func runForget(r *review) (bool, error) {
	p, err := standin.NewPlatform(4, listen)
	if err != nil {
		return false, err
	}
	defer p.Close()
	crashable(r, p)
	f, err := newFleet(r.program, r.dir, forgetVMs, p.Address("store"), nil)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	ids := &atomic.Int64{}
	path := standin.PathSlowPost + "poison-0"
	send := 0
	for round := range forgetKills + 1 {
		for range forgetSends {
			c := newCaller(r, f.vms[send%forgetVMs], ids)
			send++
			c.send(call{http.MethodPost, path, "the same body", standin.SlowTimeout, ""})
			time.Sleep(forgetPause)
		}
		if round == forgetKills || !r.trouble {
			continue
		}
		r.logf("all processes are killed")
		for _, v := range f.vms {
			_ = v.cmd.Process.Kill()
		}
		f.stop()
		time.Sleep(killPause)
		if err := f.start(); err != nil {
			return false, err
		}
		r.logf("all VMs are ready again")
		// No send counts until the VMs are in touch again.
		time.Sleep(stableWindow + time.Second)
	}
	return judgePoison(r, p, path), nil
}
