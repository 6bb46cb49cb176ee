package leverplatform

import (
	"context"
	"net/http"
	"time"

	"arbutuslever.dev/lever/internal/levermsg"
)

const probeTimeout = 300 * time.Millisecond

// Prober keeps the list of VMs the way a platform does: it asks each VM now and
// then whether it is ready. A VM that says no is leaving; one that does not
// answer a number of times is taken off.
type Prober struct {
	Memory *Memory
	VMs    []levermsg.VM
	Period time.Duration
	// Misses is how often a VM may not answer before it is taken off.
	Misses int

	missed map[string]int
	was    map[string]levermsg.VMState
}

// Run asks until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	p.missed = make(map[string]int)
	p.was = make(map[string]levermsg.VMState)
	t := time.NewTicker(p.Period)
	defer t.Stop()
	for {
		p.round(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Prober) round(ctx context.Context) {
	var list []levermsg.VM
	for _, vm := range p.VMs {
		state, answered := p.ask(ctx, vm)
		id := string(vm.ID)
		if answered {
			p.missed[id] = 0
			p.was[id] = state
		} else {
			p.missed[id]++
			state = p.was[id]
		}
		if p.missed[id] >= p.Misses || state == "" {
			continue
		}
		vm.State = state
		list = append(list, vm)
	}
	p.Memory.SetVMs(list)
}

// ask returns the VM's word. A VM that was never ready is not listed.
func (p *Prober) ask(ctx context.Context, vm levermsg.VM) (levermsg.VMState, bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Caller+"/v1/ready", nil)
	if err != nil {
		return "", false
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", false
	}
	defer w.Body.Close()
	if w.StatusCode == http.StatusOK {
		return levermsg.Live, true
	}
	if p.was[string(vm.ID)] == "" {
		return "", true
	}
	return levermsg.Leaving, true
}
