package levernode

import (
	"context"
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leverrelay"
)

// crashReport is a message about requests that may crash upstreams. A watch candidate
// passes the levels on to all VMs; a VM that gathers the evidence about a fingerprint
// receives the resets and responses.
type crashReport struct {
	Crashes []leverrelay.CrashEntry `msgpack:"c"`
	Resets  []levercrash.Reset      `msgpack:"r,omitempty"`
	// Noted are levels that older builds do not know and would take for bars.
	Noted []leverrelay.CrashEntry `msgpack:"n,omitempty"`
	// Responded holds the fingerprints of requests with a response after a reset.
	Responded []leverid.Fingerprint `msgpack:"g,omitempty"`
}

// queueCrashReport records changes of crash levels, which the relay sends to
// this VM's children, and queues a report to the watch candidates. It does not
// block.
func (n *Node) queueCrashReport(entries []levercrash.Entry) {
	n.recordCrashes(entries)
	n.mirror.AddCrashes(entries)
	n.crashes.addLevels(entries)
	n.levelsChanged()
}

var crashKinds = map[levercrash.Level]leverevent.Kind{
	levercrash.Clear: leverevent.CrashCleared, levercrash.Suspect: leverevent.CrashSuspect, levercrash.Barred: leverevent.CrashBarred,
}

func (n *Node) recordCrashes(entries []levercrash.Entry) {
	for _, e := range entries {
		if kind, ok := crashKinds[e.Level]; ok {
			n.events.Add(kind, e.Fingerprint.String(), string(e.Upstream))
		}
	}
}

// mergeCrashes merges the crash levels of other VMs and returns those that were new.
func (n *Node) mergeCrashes(entries []levercrash.Entry, now time.Time) []levercrash.Entry {
	for _, e := range entries {
		if e.Level == levercrash.Clear {
			n.gatherer.Forget(e.Fingerprint)
		}
	}
	changed := n.engine.Crashes.Merge(entries, now)
	for _, e := range changed {
		if e.Level == levercrash.Noted {
			n.gatherReset(levercrash.Reset{Fingerprint: e.Fingerprint, Service: e.Service, Upstream: e.Upstream, Born: e.Born})
		}
	}
	return changed
}

// serveCrashes merges another VM's crash report.
func (n *Node) serveCrashes(r *leverpeer.Request) error {
	var m crashReport
	if err := r.Decode(&m); err != nil {
		return err
	}
	now := n.timer.Now()
	entries := leverrelay.Entries(now, m.Crashes, m.Noted)
	changed := n.mergeCrashes(entries, now)
	if len(changed) > 0 {
		n.log.Info("a peer reports crashes", "peer", r.From.ID, "contents", len(changed))
	}
	n.mirror.AddCrashes(changed)
	if len(changed) > 0 {
		n.levelsChanged()
	}
	for _, reset := range m.Resets {
		n.gatherReset(reset)
	}
	for _, f := range m.Responded {
		n.gatherer.Forget(f)
	}
	return r.Reply(nil, true)
}

// gatherReset adds a reset to the evidence that this VM gathers.
func (n *Node) gatherReset(r levercrash.Reset) {
	if n.gatherer.Add(r, n.timer.Now()) {
		n.reviewCrashesLater(r.Fingerprint)
	}
	f := r.Fingerprint
	n.timer.RunAfter(levercrash.NoteDelay, func() { n.noteReset(f) })
}

// noteReset makes the reset of a fingerprint known to all VMs if it stands.
func (n *Node) noteReset(f leverid.Fingerprint) {
	now := n.timer.Now()
	r, ok := n.gatherer.Standing(f, now)
	if !ok {
		return
	}
	if e, changed := n.engine.Crashes.MarkNoted(r, now); changed {
		n.log.Info("an upstream that reset a content has not responded since", "fingerprint", f, "service", r.Service, "upstream", r.Upstream)
		n.queueCrashReport([]levercrash.Entry{e})
	}
}

func (n *Node) reviewCrashesLater(f leverid.Fingerprint) {
	n.timer.RunAfter(levercrash.SettleTime, func() { n.reviewCrashes(f) })
}

// reviewCrashes makes a fingerprint suspect on all VMs if the gathered evidence has
// settled.
func (n *Node) reviewCrashes(f leverid.Fingerprint) {
	now := n.timer.Now()
	r, suspicious, again := n.gatherer.Review(f, now)
	if again {
		n.reviewCrashesLater(f)
	}
	if !suspicious {
		return
	}
	e, changed := n.engine.Crashes.Suspect(r, now)
	if !changed {
		return
	}
	n.log.Warn("content is believed to crash upstreams, as several VMs report", "fingerprint", f, "service", r.Service, "upstream", r.Upstream)
	n.queueCrashReport([]levercrash.Entry{e})
}

func (n *Node) runCrashLevels(ctx context.Context) { n.crashes.runLevels(ctx) }

func (n *Node) runCrashEvidence(ctx context.Context) { n.crashes.runEvidence(ctx) }
