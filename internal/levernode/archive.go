package levernode

import (
	"context"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverarchive"
	"arbutuslever.dev/lever/internal/levercrash"
)

const (
	// levelsWait is how long a VM that has just started takes no requests because the
	// crash levels of contents are not known. VMs of builds without records do not say
	// that they know them.
	levelsWait = 3 * time.Second
	// archiveDelay is how long a VM watches the store before it reads the records, unless
	// others depend on it: at a start and at the end of an outage many VMs watch the store
	// for a moment.
	archiveDelay = time.Second
	// archivePollInterval is how often it looks whether they do.
	archivePollInterval = 50 * time.Millisecond
	// minRecordPause and recordPausePerVM, multiplied by the number of VMs, bound the
	// writes of crash levels; the larger pause applies. All VMs may watch the store at
	// once, and then make 250 writes/s together.
	minRecordPause   = 100 * time.Millisecond
	recordPausePerVM = 4 * time.Millisecond
)

// initArchive prepares the archive of the crash levels if the store keeps them.
func (n *Node) initArchive() {
	o := n.opts
	if o.CrashRecords == nil {
		return
	}
	n.engine.Directory.AwaitLevels(true)
	n.archive = &leverarchive.Archive{
		Store: o.CrashRecords, Levels: n.engine.Crashes.Entries, Merge: n.mergeRecords, OnRead: n.mirror.SetCrashesKnown,
		Pause: n.recordPause, Timer: n.timer, Log: o.Log.For("archive"), Metrics: o.Metrics,
	}
	n.mirror.OnCrashesKnown = func() { n.engine.Directory.AwaitLevels(false) }
}

func (n *Node) runArchive(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	if !n.awaitLevels(ctx) {
		return
	}
	n.archive.Run(ctx)
}

// awaitLevels waits for archiveDelay unless this VM has to read the records at once: it does
// not know the levels, and the others learn them from it. It returns false if ctx ends.
func (n *Node) awaitLevels(ctx context.Context) bool {
	until := n.timer.Now().Add(archiveDelay)
	for n.timer.Now().Before(until) {
		if !n.mirror.CrashesKnown() && n.relay.IsFirst() {
			return true
		}
		if !n.timer.Sleep(ctx, archivePollInterval) {
			return false
		}
	}
	return true
}

// runLevelsWait ends the wait for the crash levels.
func (n *Node) runLevelsWait(ctx context.Context) {
	if n.timer.Sleep(ctx, levelsWait) && n.engine.Directory.AwaitLevels(false) {
		n.log.Warn("the crash levels of the store are not known; taking requests without them", "waited", levelsWait)
	}
}

func (n *Node) recordPause() time.Duration {
	return max(minRecordPause, time.Duration(n.members.Len())*recordPausePerVM)
}

// mergeRecords merges the crash levels that the store holds, which the relay sends to
// this VM's children.
func (n *Node) mergeRecords(entries []levercrash.Entry) {
	changed := n.mergeCrashes(entries, n.timer.Now())
	n.recordCrashes(changed)
	n.mirror.AddCrashes(changed)
}

// levelsChanged makes the archive write changed crash levels if this VM watches the
// store.
func (n *Node) levelsChanged() {
	if n.archive != nil {
		n.archive.Changed()
	}
}
