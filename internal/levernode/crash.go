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
		n.events.Add(crashKinds[e.Level], e.Fingerprint.String(), string(e.Upstream))
	}
}

// mergeCrashes merges the crash levels of other VMs and returns those that were new.
func (n *Node) mergeCrashes(entries []levercrash.Entry, now time.Time) []levercrash.Entry {
	for _, e := range entries {
		if e.Level == levercrash.Clear {
			n.gatherer.Forget(e.Fingerprint)
		}
	}
	return n.engine.Crashes.Merge(entries, now)
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
