package leverplatform

import (
	"context"
	"net/http"
	"time"

	"arbutuslever.dev/lever/internal/levermsg"
)

const probeTimeout = 300 * time.Millisecond

// Prober maintains the list of VMs by periodic readiness probes, as the
// platform does. A VM that answers that it is not ready is listed as leaving;
// one that fails to answer Misses probes in a row is removed.
type Prober struct {
	Memory   *Memory
	VMs      []levermsg.VM
	Interval time.Duration
	// Misses is the number of unanswered probes in a row after which a VM is
	// removed.
	Misses int

	failures  map[string]int
	lastState map[string]levermsg.VMState
}

// Run probes the VMs until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	p.failures = make(map[string]int)
	p.lastState = make(map[string]levermsg.VMState)
	t := time.NewTicker(p.Interval)
	defer t.Stop()
	for {
		p.probeAll(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Prober) probeAll(ctx context.Context) {
	var list []levermsg.VM
	for _, vm := range p.VMs {
		state, answered := p.probe(ctx, vm)
		id := string(vm.ID)
		if answered {
			p.failures[id] = 0
			p.lastState[id] = state
		} else {
			p.failures[id]++
			state = p.lastState[id]
		}
		if p.failures[id] >= p.Misses || state == "" {
			continue
		}
		vm.State = state
		list = append(list, vm)
	}
	p.Memory.SetVMs(list)
}

// probe returns the state of a VM and whether it answered. The state is empty
// for a VM that has never been ready, which is not listed yet.
func (p *Prober) probe(ctx context.Context, vm levermsg.VM) (levermsg.VMState, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Caller+"/v1/ready", nil)
	if err != nil {
		return "", false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		return levermsg.Live, true
	}
	if p.lastState[string(vm.ID)] == "" {
		return "", true
	}
	return levermsg.Leaving, true
}
