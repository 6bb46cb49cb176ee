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

// queue holds the calls of one upstream that wait for a slot. It is safe for
// concurrent use.
type queue struct {
	sender *Sender

	mu      sync.Mutex
	waiting leverrank.Queue
	busy    int
	// mean is the time that a call takes.
	mean time.Duration
}

// job is one call at its home.
type job struct {
	queue  *queue
	target leverpool.Target
	call   *leverpool.Call
	stamp  func() http.Header
	accept func(*http.Response) error
	done   func(*leverpool.Reply, error)
	ticket leverrank.Ticket

	// The queue's lock guards what follows.
	begun time.Time
	inner leverengine.Exchange
	ended bool
	// canceled says that the call was given up before it was known how to.
	canceled bool
}

// add sends a call if there is a slot, lets it wait if its turn comes in time,
// and refuses it otherwise.
func (q *queue) add(j *job, now time.Time) {
	slots := max(j.target.Upstream.Slots, 1)
	q.mu.Lock()
	q.waiting.Floors = j.target.Floors
	if q.busy < slots {
		q.busy++
		q.mu.Unlock()
		j.send(now)
		return
	}
	wait := time.Duration((q.waiting.Turns(j.target.Rank) + 1) / float64(slots) * float64(q.mean))
	if left := j.target.Due.Sub(now); wait > time.Duration(waitPart*float64(left)) {
		j.ended = true
		q.mu.Unlock()
		j.done(nil, errors.Annotatef(leverpool.ErrNoRoom, "a slot is free in %s, %s are left", wait, left))
		return
	}
	j.ticket = leverrank.Ticket{Rank: j.target.Rank, Run: func() { j.send(q.sender.Timer.Now()) }}
	q.waiting.Push(&j.ticket)
	q.mu.Unlock()
}

// send sends the call; it holds a slot.
func (j *job) send(now time.Time) {
	q := j.queue
	q.mu.Lock()
	j.begun = now
	late, canceled := !now.Before(j.target.Due), j.canceled
	q.mu.Unlock()
	switch {
	case canceled:
		j.end(nil, errors.Annotate(leverpool.ErrWithdrawn, "given up in the queue"))
		return
	case late:
		j.end(nil, errors.Annotate(leverpool.ErrNoRoom, "the time was over in the queue"))
		return
	}
	x := q.sender.Pool.Send(j.target, j.call, j.stamp, j.accept, j.end)
	q.mu.Lock()
	j.inner = x
	canceled = j.canceled
	q.mu.Unlock()
	if canceled {
		x.Cancel()
	}
}

// end gives the slot to the next call and hands the answer on.
func (j *job) end(r *leverpool.Reply, err error) {
	q := j.queue
	now := q.sender.Timer.Now()
	q.mu.Lock()
	if err == nil {
		q.mean += time.Duration(meanGain * float64(now.Sub(j.begun)-q.mean))
	}
	j.ended = true
	next := q.waiting.Pop()
	if next == nil {
		q.busy--
	}
	q.mu.Unlock()
	j.done(r, err)
	if next != nil {
		next.Run()
	}
}

// Withdraw gives the call up if it has not been sent.
func (j *job) Withdraw() bool {
	q := j.queue
	q.mu.Lock()
	if j.ended || j.inner != nil {
		inner := j.inner
		ended := j.ended
		q.mu.Unlock()
		return ended || inner.Withdraw()
	}
	if !j.ticket.Waiting() {
		// It is being sent.
		q.mu.Unlock()
		return false
	}
	q.waiting.Withdraw(&j.ticket)
	j.ended = true
	q.mu.Unlock()
	j.done(nil, errors.Annotate(leverpool.ErrWithdrawn, "no slot yet"))
	return true
}

// Cancel gives the call up.
func (j *job) Cancel() {
	if j.Withdraw() {
		return
	}
	q := j.queue
	q.mu.Lock()
	j.canceled = true
	inner := j.inner
	q.mu.Unlock()
	if inner != nil {
		inner.Cancel()
	}
}

// calls returns the number of calls that wait or run.
func (q *queue) calls() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.busy + q.waiting.Total()
}
