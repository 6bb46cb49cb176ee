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
	// crashQueueSize is the maximum number of crash reports waiting to be sent.
	crashQueueSize = 64
	// crashTimeout limits the time to send a report to one VM.
	crashTimeout = 500 * time.Millisecond
)

// crashReport is a message that lists changes of crash levels.
type crashReport struct {
	Crashes []leverrelay.CrashEntry `msgpack:"c"`
}

// queueCrashReport records changes of crash levels, which the relay sends to
// this VM's children, and queues a report to the watch candidates. It does not
// block. If the queue is full, the report is dropped and the VMs that are not
// below this one in the tree must observe the crashes themselves.
func (n *Node) queueCrashReport(entries []levercrash.Entry) {
	n.recordCrashes(entries)
	n.mirror.AddCrashes(entries)
	select {
	case n.crashes <- entries:
	default:
		n.log.Warn("a crash report is dropped: the queue is full", "waiting", len(n.crashes))
	}
}

var crashKinds = map[levercrash.Level]leverevent.Kind{
	levercrash.Clear: leverevent.CrashCleared, levercrash.Suspect: leverevent.CrashSuspect, levercrash.Barred: leverevent.CrashBarred,
}

func (n *Node) recordCrashes(entries []levercrash.Entry) {
	for _, e := range entries {
		n.events.Add(crashKinds[e.Level], e.Fingerprint.String(), string(e.Upstream))
	}
}

// runCrashes sends the queued reports to the watch candidates. The relay
// forwards them to all other VMs.
func (n *Node) runCrashes(ctx context.Context) {
	for {
		select {
		case entries := <-n.crashes:
			for _, vm := range n.relay.WatchCandidates() {
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
		m.Crashes = append(m.Crashes, leverrelay.NewCrashEntry(e, now))
	}
	if err := n.controlPeers.Invoke(ctx, vm, leverpeer.KindCrashes, &m, nil); err != nil {
		n.log.Warn("crashes could not be reported", "to", vm.ID, "err", err)
	}
}

// serveCrashes merges another VM's crash report.
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
	changed := n.engine.Crashes.Merge(entries, now)
	if len(changed) > 0 {
		n.log.Info("a peer reports crashes", "peer", r.From.ID, "contents", len(changed))
	}
	n.mirror.AddCrashes(changed)
	return r.Reply(nil, true)
}
