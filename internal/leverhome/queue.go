package leverhome

import (
	"net/http"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverengine"
	"arbutuslever.dev/lever/internal/leverpool"
	"arbutuslever.dev/lever/internal/leverrank"

	"github.com/juju/errors"
)

// queue limits the concurrent calls to one upstream to its slots and holds the
// calls that wait for a slot. It is safe for concurrent use.
type queue struct {
	sender *Sender

	mu      sync.Mutex
	waiting leverrank.Queue
	// inUse is the number of occupied slots.
	inUse int
	// meanTime is the moving average of the duration of a call.
	meanTime time.Duration
}

// job is one call to an upstream whose home is this VM.
type job struct {
	queue     *queue
	target    leverpool.Target
	call      *leverpool.Call
	header    func() http.Header
	checkHead func(*http.Response) error
	done      func(*leverpool.Reply, error)
	ticket    leverrank.Ticket

	// The fields below are guarded by queue.mu.
	started  time.Time
	exchange leverengine.Exchange
	finished bool
	// canceled is set by Cancel before exchange is known; send then cancels the
	// exchange.
	canceled bool
}

// add sends the call if a slot is free. Otherwise it queues the call if a slot
// is expected within maxWaitFraction of the time to its deadline, and refuses it
// if not.
func (q *queue) add(j *job, now time.Time) {
	slots := max(j.target.Upstream.Slots, 1)
	q.mu.Lock()
	q.waiting.Floors = j.target.Floors
	if q.inUse < slots {
		q.inUse++
		q.mu.Unlock()
		j.send(now)
		return
	}
	wait := time.Duration((q.waiting.Turns(j.target.Rank) + 1) / float64(slots) * float64(q.meanTime))
	if remaining := j.target.Deadline.Sub(now); wait > time.Duration(maxWaitFraction*float64(remaining)) {
		j.finished = true
		q.mu.Unlock()
		j.done(nil, errors.Annotatef(leverpool.ErrQueueRejected, "no slot is free for %s; the deadline is in %s", wait, remaining))
		return
	}
	j.ticket = leverrank.Ticket{Rank: j.target.Rank, Run: func() { j.send(q.sender.Timer.Now()) }}
	q.waiting.Push(&j.ticket)
	q.mu.Unlock()
}

// send sends the call. The caller has reserved a slot for it.
func (j *job) send(now time.Time) {
	q := j.queue
	q.mu.Lock()
	j.started = now
	expired, canceled := !now.Before(j.target.Deadline), j.canceled
	q.mu.Unlock()
	switch {
	case canceled:
		j.end(nil, errors.Annotate(leverpool.ErrWithdrawn, "canceled before it was sent"))
		return
	case expired:
		j.end(nil, errors.Annotate(leverpool.ErrQueueRejected, "deadline passed before it was sent"))
		return
	}
	x := q.sender.Pool.Send(j.target, j.call, j.header, j.checkHead, j.end)
	q.mu.Lock()
	j.exchange = x
	canceled = j.canceled
	q.mu.Unlock()
	if canceled {
		x.Cancel()
	}
}

// end passes the slot to the next call in the queue and reports the result.
func (j *job) end(r *leverpool.Reply, err error) {
	q := j.queue
	now := q.sender.Timer.Now()
	q.mu.Lock()
	if err == nil {
		q.meanTime += time.Duration(meanWeight * float64(now.Sub(j.started)-q.meanTime))
	}
	j.finished = true
	next := q.waiting.Pop()
	if next == nil {
		q.inUse--
	}
	q.mu.Unlock()
	j.done(r, err)
	if next != nil {
		next.Run()
	}
}

// Withdraw removes the call from the queue if it has not been sent.
func (j *job) Withdraw() bool {
	q := j.queue
	q.mu.Lock()
	if j.finished || j.exchange != nil {
		exchange := j.exchange
		finished := j.finished
		q.mu.Unlock()
		return finished || exchange.Withdraw()
	}
	if !j.ticket.Waiting() {
		// send has begun, but the exchange is not known yet.
		q.mu.Unlock()
		return false
	}
	q.waiting.Withdraw(&j.ticket)
	j.finished = true
	q.mu.Unlock()
	j.done(nil, errors.Annotate(leverpool.ErrWithdrawn, "withdrawn while queued"))
	return true
}

// Cancel withdraws the call, or cancels it if it has been sent.
func (j *job) Cancel() {
	if j.Withdraw() {
		return
	}
	q := j.queue
	q.mu.Lock()
	j.canceled = true
	exchange := j.exchange
	q.mu.Unlock()
	if exchange != nil {
		exchange.Cancel()
	}
}

// calls returns the number of queued and running calls.
func (q *queue) calls() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inUse + q.waiting.Len()
}
