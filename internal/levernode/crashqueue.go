package levernode

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/levercrash"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermember"
	"arbutuslever.dev/lever/internal/levermetric"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverpeer"
	"arbutuslever.dev/lever/internal/leverrelay"
)

const (
	// crashBatchInterval is the delay before reports are sent. A response that comes
	// meanwhile makes the report of a reset needless.
	crashBatchInterval = 100 * time.Millisecond
	// crashTimeout limits the time to send a report to one VM.
	crashTimeout = 500 * time.Millisecond
	// crashRetryInterval is the delay before a report that a VM has not received is sent
	// again, crashRetryTime how long that is tried.
	crashRetryInterval = time.Second
	crashRetryTime     = 30 * time.Second
	// crashGatherers is the number of VMs that gather the evidence about a fingerprint.
	crashGatherers = 2
	// maxCrashReports bounds the fingerprints with reports that wait.
	maxCrashReports = 4096
)

// crashQueue holds the reports about requests that may crash upstreams until they are
// sent. Those about one fingerprint replace each other. It is safe for concurrent use.
type crashQueue struct {
	node *Node

	mu     sync.Mutex
	levels map[leverid.Fingerprint]queuedLevel
	resets map[leverid.Fingerprint]queuedReset
	// responded holds the fingerprints with responses after resets that have been sent.
	responded map[leverid.Fingerprint]bool
	// sent holds the fingerprints of which resets have been sent.
	sent map[leverid.Fingerprint]bool
	// levelsWake and evidenceWake receive a value when something is queued.
	levelsWake, evidenceWake chan struct{}
}

type queuedLevel struct {
	entry levercrash.Entry
	since time.Time
}

type queuedReset struct {
	reset levercrash.Reset
	since time.Time
}

func newCrashQueue(n *Node) *crashQueue {
	return &crashQueue{
		node: n, levels: make(map[leverid.Fingerprint]queuedLevel), resets: make(map[leverid.Fingerprint]queuedReset),
		responded: make(map[leverid.Fingerprint]bool), sent: make(map[leverid.Fingerprint]bool), levelsWake: make(chan struct{}, 1), evidenceWake: make(chan struct{}, 1),
	}
}

func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// addLevels queues changes of levels for the watch candidates.
func (q *crashQueue) addLevels(entries []levercrash.Entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.node.timer.Now()
	for _, e := range entries {
		q.levels[e.Fingerprint] = queuedLevel{e, now}
	}
	limitReports(q, q.levels)
	notify(q.levelsWake)
}

// WasReset queues a reset for the VMs that gather the evidence.
func (q *crashQueue) WasReset(r levercrash.Reset) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.resets[r.Fingerprint] = queuedReset{r, q.node.timer.Now()}
	limitReports(q, q.resets)
	notify(q.evidenceWake)
}

// Responded withdraws the reset of a request, or queues the response if the reset has
// been sent.
func (q *crashQueue) Responded(f leverid.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.resets, f)
	if !q.sent[f] {
		return
	}
	delete(q.sent, f)
	q.responded[f] = true
	limitReports(q, q.responded)
	notify(q.evidenceWake)
}

// limitReports drops any report if there are too many.
func limitReports[T any](q *crashQueue, reports map[leverid.Fingerprint]T) {
	if len(reports) <= maxCrashReports {
		return
	}
	for f := range reports {
		delete(reports, f)
		q.node.log.Warn("a crash report is dropped: too many wait", "fingerprint", f, "waiting", maxCrashReports)
		return
	}
}

// runLevels sends changes of levels as they come until ctx ends. A VM that does not
// answer delays no other.
func (q *crashQueue) runLevels(ctx context.Context) {
	for {
		select {
		case <-q.levelsWake:
		case <-ctx.Done():
			return
		}
		for _, d := range q.takeLevels() {
			go d.run(ctx)
		}
	}
}

// runEvidence sends evidence in batches until ctx ends.
func (q *crashQueue) runEvidence(ctx context.Context) {
	for {
		select {
		case <-q.evidenceWake:
		case <-ctx.Done():
			return
		}
		if !q.node.timer.Sleep(ctx, crashBatchInterval) {
			return
		}
		for _, d := range q.takeEvidence() {
			go d.run(ctx)
		}
	}
}

// takeLevels returns what each watch candidate is to get of the queued levels, and
// empties that queue.
func (q *crashQueue) takeLevels() []*crashDelivery {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.levels) == 0 {
		return nil
	}
	levels := slices.Collect(maps.Values(q.levels))
	clear(q.levels)
	var out []*crashDelivery
	for _, vm := range q.node.relay.WatchCandidates() {
		out = append(out, &crashDelivery{queue: q, vm: vm, levels: levels})
	}
	return out
}

// takeEvidence returns what each VM that gathers evidence is to get, and empties that
// queue.
func (q *crashQueue) takeEvidence() map[leverid.VMID]*crashDelivery {
	live := q.node.members.Live(q.node.timer.Now())
	out := make(map[leverid.VMID]*crashDelivery)
	to := func(vm levermsg.VM) *crashDelivery {
		d := out[vm.ID]
		if d == nil {
			d = &crashDelivery{queue: q, vm: vm}
			out[vm.ID] = d
		}
		return d
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for f, r := range q.resets {
		for _, vm := range levermember.Owners(f.String(), live, crashGatherers) {
			d := to(vm)
			d.resets = append(d.resets, r)
		}
		if len(q.sent) >= maxCrashReports {
			clear(q.sent)
		}
		q.sent[f] = true
	}
	for f := range q.responded {
		for _, vm := range levermember.Owners(f.String(), live, crashGatherers) {
			d := to(vm)
			d.responded = append(d.responded, f)
		}
	}
	clear(q.resets)
	clear(q.responded)
	return out
}

// crashDelivery is a batch of reports for one VM.
type crashDelivery struct {
	queue     *crashQueue
	vm        levermsg.VM
	levels    []queuedLevel
	resets    []queuedReset
	responded []leverid.Fingerprint
}

// run delivers the batch. What the VM does not receive is queued again, as another one
// may have taken its place.
func (d *crashDelivery) run(ctx context.Context) {
	n := d.queue.node
	if d.vm.ID == n.opts.Self.ID {
		d.keep()
		return
	}
	err := d.send(ctx)
	if err == nil || ctx.Err() != nil {
		return
	}
	n.log.Warn("crashes could not be reported", "to", d.vm.ID, "levels", len(d.levels), "resets", len(d.resets), "err", err)
	if n.timer.Sleep(ctx, crashRetryInterval) {
		d.queue.requeue(d)
	}
}

// keep records the batch on this VM, which gathers the evidence itself.
func (d *crashDelivery) keep() {
	n := d.queue.node
	for _, r := range d.resets {
		n.gatherReset(r.reset)
	}
	for _, f := range d.responded {
		n.gatherer.Forget(f)
	}
}

func (d *crashDelivery) send(ctx context.Context) error {
	n := d.queue.node
	ctx, cancel := context.WithTimeout(ctx, crashTimeout)
	defer cancel()
	m := crashReport{Responded: d.responded}
	now := n.timer.Now()
	for _, l := range d.levels {
		e := leverrelay.NewCrashEntry(l.entry, now)
		if e.Level == levercrash.Noted {
			m.Noted = append(m.Noted, e)
		} else {
			m.Crashes = append(m.Crashes, e)
		}
	}
	for _, r := range d.resets {
		m.Resets = append(m.Resets, r.reset)
	}
	n.opts.Metrics.Add(levermetric.Name("crash-reports-sent"), 1)
	return n.controlPeers.Invoke(ctx, d.vm, leverpeer.KindCrashes, &m, nil)
}

// requeue queues reports again unless newer ones wait or they are too old. Responses are
// not reported again: a suspicion that they would have prevented ends with a trial.
func (q *crashQueue) requeue(d *crashDelivery) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.node.timer.Now()
	for _, l := range d.levels {
		if _, newer := q.levels[l.entry.Fingerprint]; !newer && now.Sub(l.since) < crashRetryTime {
			q.levels[l.entry.Fingerprint] = l
		}
	}
	for _, r := range d.resets {
		f := r.reset.Fingerprint
		if _, newer := q.resets[f]; !newer && q.sent[f] && now.Sub(r.since) < crashRetryTime {
			q.resets[f] = r
		}
	}
	notify(q.levelsWake)
	notify(q.evidenceWake)
}
