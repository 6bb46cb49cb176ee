package levernode

import (
	"context"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverreturn"
)

const (
	// maxEvacuationsBackoff limits the pause between failed reads of the evacuations.
	// An evacuation must be in force 5 s after the store has acknowledged it.
	maxEvacuationsBackoff = 350 * time.Millisecond
	// evacuationsConfirmInterval is the least time between two checks whether the long
	// watch of the evacuations still receives changes. A change is missed for at most
	// 4.7 s: the watch of the configuration and its pause (1.3 s), this interval, a
	// watch that returns at once (0.6 s) and a list (0.75 s).
	evacuationsConfirmInterval = 2 * time.Second
	// evacuationsWait is how long a VM that has just started takes no requests because
	// the evacuations are not known. VMs of builds without evacuations send none.
	evacuationsWait = 3 * time.Second
)

// initEvacuations prepares the follower of the evacuations if the VM takes notice of
// them.
func (n *Node) initEvacuations() {
	o := n.opts
	if o.Evacuations == nil {
		return
	}
	n.engine.Directory.AwaitEvacuations(true)
	n.engine.Returns = &leverreturn.Ramp{}
	n.mirror.OnEvacuations = n.applyEvacuations
	n.evacuations = &leverfeed.Follower[leverid.Domain]{
		Name: "evacuations", Source: o.Evacuations, Timer: n.timer, Log: o.Log.For("feed"), Pause: watchPause, Apply: n.mirror.SetEvacuations,
		MaxBackoff: func() time.Duration { return n.maxBackoff(maxEvacuationsBackoff) },
	}
}

func (n *Node) runEvacuations(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	n.evacuations.Run(ctx)
}

// confirmEvacuations checks that the watch of the evacuations still receives changes. It
// does so less often than for the upstreams, whose watch ends often anyway.
func (n *Node) confirmEvacuations(rev leverfeed.Revision) {
	if n.evacuations == nil {
		return
	}
	now := n.timer.Now().UnixNano()
	if last := n.evacuationsConfirmed.Load(); now-last >= int64(evacuationsConfirmInterval) && n.evacuationsConfirmed.CompareAndSwap(last, now) {
		n.evacuations.Confirm(rev)
	}
}

// runEvacuationsWait ends the wait for the evacuations.
func (n *Node) runEvacuationsWait(ctx context.Context) {
	if n.timer.Sleep(ctx, evacuationsWait) && n.engine.Directory.AwaitEvacuations(false) {
		n.log.Warn("the evacuations are not known; taking requests without them", "waited", evacuationsWait)
	}
}

func (n *Node) applyEvacuations(domains []leverid.Domain) {
	added, lifted := n.engine.Directory.SetEvacuated(domains)
	for _, d := range added {
		n.log.Warn("a failure domain is evacuated", "domain", d, "evacuated", len(domains))
	}
	for _, d := range lifted {
		n.log.Info("the evacuation of a failure domain has ended", "domain", d, "evacuated", len(domains))
	}
}
