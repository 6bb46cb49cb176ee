package leverkernel

import (
	"context"
	"sync"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leverquery"
)

// Results is what a home sends back: the ends of attempts, and their records
// merged.
type Results struct {
	Results []levermsg.Result `msgpack:"r"`
	Records []levermsg.Record `msgpack:"k"`
}

// dispatcher sends batches to this VM's own home or to that of a peer.
type dispatcher struct{ node *Node }

// Dispatch sends a batch.
func (d *dispatcher) Dispatch(ctx context.Context, home leverid.VMID, b *levermsg.Batch, sink func(levermsg.Result)) leverquery.Call {
	if home == d.node.opts.Self.ID {
		return d.node.home.Start(ctx, b, sink)
	}
	r := newRemote(d.node, b, sink)
	vm, ok := d.node.members.Find(home)
	if !ok {
		r.lose(levermsg.HomeLost, leverid.NotRun, "no such VM")
		return r
	}
	go r.run(ctx, vm, b)
	return r
}

// remote is a batch at a peer's home.
type remote struct {
	node *Node
	sink func(levermsg.Result)

	mu        sync.Mutex
	open      map[leverid.AttemptID]bool
	call      *leverpeer.Call
	withdrawn []leverid.AttemptID
}

func newRemote(n *Node, b *levermsg.Batch, sink func(levermsg.Result)) *remote {
	r := &remote{node: n, sink: sink, open: make(map[leverid.AttemptID]bool, len(b.Items))}
	for _, it := range b.Items {
		r.open[it.Attempt] = true
	}
	return r
}

func (r *remote) run(ctx context.Context, vm levermsg.VM, b *levermsg.Batch) {
	call, err := r.node.peers.Call(ctx, vm, leverpeer.KindBatch, b)
	if err != nil {
		r.lose(levermsg.HomeLost, leverid.NotRun, err.Error())
		return
	}
	defer call.Close()
	r.begun(call)
	for {
		body, last, err := call.Next(ctx)
		if err != nil {
			r.lose(broken(ctx), leverid.MayHaveRun, err.Error())
			return
		}
		var res Results
		if err := leverpeer.Decode(body, &res); err != nil {
			r.lose(levermsg.HomeLost, leverid.MayHaveRun, err.Error())
			return
		}
		r.deliver(&res)
		if last {
			r.lose(levermsg.HomeLost, leverid.MayHaveRun, "the home ended the batch")
			return
		}
	}
}

// broken is the outcome of attempts whose results no longer come: the query is
// over, or the home is gone.
func broken(ctx context.Context) levermsg.Outcome {
	switch ctx.Err() {
	case nil:
		return levermsg.HomeLost
	case context.DeadlineExceeded:
		return levermsg.TimedOut
	}
	return levermsg.Withdrawn
}

// begun keeps the call and sends on what was withdrawn before it stood.
func (r *remote) begun(call *leverpeer.Call) {
	r.mu.Lock()
	r.call = call
	early := r.withdrawn
	r.mu.Unlock()
	if len(early) > 0 {
		// A failed send shows as a lost home.
		_ = call.Signal(&levermsg.Withdraw{Attempts: early})
	}
}

// Withdraw takes attempts back.
func (r *remote) Withdraw(ids []leverid.AttemptID) {
	r.mu.Lock()
	call := r.call
	if call == nil {
		r.withdrawn = append(r.withdrawn, ids...)
	}
	r.mu.Unlock()
	if call != nil {
		// A failed send shows as a lost home.
		_ = call.Signal(&levermsg.Withdraw{Attempts: ids})
	}
}

// deliver hands results to the sink. The merged records go with the first
// whole result that is handed on.
func (r *remote) deliver(res *Results) {
	for i := range res.Results {
		one := res.Results[i]
		if !r.settle(one.Attempt) {
			continue
		}
		if one.Outcome == levermsg.OK {
			one.Records = res.Records
			res.Records = nil
		}
		r.sink(one)
	}
}

func (r *remote) settle(id leverid.AttemptID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.open[id]
	delete(r.open, id)
	return was
}

// lose ends the attempts that have no result.
func (r *remote) lose(o levermsg.Outcome, run leverid.RunState, detail string) {
	r.mu.Lock()
	open := r.open
	r.open = nil
	r.mu.Unlock()
	for id := range open {
		r.sink(levermsg.Result{Attempt: id, Outcome: o, Run: run, Detail: detail})
	}
}
