package levernode

import (
	"context"
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leverrelay"
)

const (
	// crashQueue is the number of reports that wait to be sent.
	crashQueue = 64
	// crashTimeout bounds the sending of one.
	crashTimeout = 500 * time.Millisecond
)

// crashReport tells of contents that crash upstreams.
type crashReport struct {
	Crashes []leverrelay.Crash `msgpack:"c"`
}

// tellCrashes has the other VMs told. It does not block; what finds the queue
// full is left to the VMs' own evidence.
func (n *Node) tellCrashes(entries []levercrash.Entry) {
	n.noteCrashes(entries)
	n.board.AddCrashes(entries)
	select {
	case n.crashes <- entries:
	default:
		n.log.Warn("a report of crashes is left out", "waiting", len(n.crashes))
	}
}

var crashKinds = map[levercrash.Level]leverevent.Kind{
	levercrash.Clear: leverevent.CrashCleared, levercrash.Suspect: leverevent.CrashSuspect, levercrash.Barred: leverevent.CrashBarred,
}

func (n *Node) noteCrashes(entries []levercrash.Entry) {
	for _, e := range entries {
		n.events.Add(crashKinds[e.Level], e.Fingerprint.String(), string(e.Upstream))
	}
}

// runCrashes reports to the VMs that watch the store; the relay carries the
// reports on to all others.
func (n *Node) runCrashes(ctx context.Context) {
	for {
		select {
		case entries := <-n.crashes:
			for _, vm := range n.relay.Watchers() {
				n.reportCrashes(ctx, vm, entries)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) reportCrashes(ctx context.Context, vm levermsg.VM, entries []levercrash.Entry) {
	ctx, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	var m crashReport
	now := n.timer.Now()
	for _, e := range entries {
		m.Crashes = append(m.Crashes, leverrelay.NewCrash(e, now))
	}
	if err := n.relays.Ask(ctx, vm, leverpeer.KindCrashes, &m, nil); err != nil {
		n.log.Warn("crashes could not be reported", "to", vm.ID, "err", err)
	}
}

// serveCrashes takes in another VM's report.
func (n *Node) serveCrashes(r *leverpeer.Request) error {
	var m crashReport
	if err := r.Decode(&m); err != nil {
		return err
	}
	now := n.timer.Now()
	entries := make([]levercrash.Entry, len(m.Crashes))
	for i, c := range m.Crashes {
		entries[i] = c.Entry(now)
	}
	news := n.engine.Crashes.Merge(entries, now)
	if len(news) > 0 {
		n.log.Info("a peer reports crashes", "peer", r.From.ID, "contents", len(news))
	}
	n.board.AddCrashes(news)
	return r.Reply(nil, true)
}
