package leverquery

import (
	"context"
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// endingRetryAfter is the retry delay suggested to callers whose requests the
// ending VM refuses: another VM can take them at once.
const endingRetryAfter = 10 * time.Millisecond

// ending is the end of a VM's work. The zero value has none. It is safe for
// concurrent use.
type ending struct {
	mu     sync.Mutex
	at     time.Time
	ctx    context.Context
	cancel context.CancelFunc
}

// context returns a context that is done at the end.
func (n *ending) context() context.Context {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.init()
}

// init returns the context. The caller holds the mutex.
func (n *ending) init() context.Context {
	if n.ctx == nil {
		n.ctx, n.cancel = context.WithCancel(context.Background())
	}
	return n.ctx
}

// limit returns the end if it is known and before t, otherwise t.
func (n *ending) limit(t time.Time) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.at.IsZero() || t.Before(n.at) {
		return t
	}
	return n.at
}

// EndBy makes all requests end by a time. The Runner must end its own by then.
func (e *Engine) EndBy(at time.Time) {
	n := &e.ending
	n.mu.Lock()
	defer n.mu.Unlock()
	n.at = at
	n.init()
	e.Timer.RunAfter(at.Sub(e.Timer.Now()), n.cancel)
}

// deadline returns the time by which a request is answered: its deadline, or the
// end of the VM's work if that is before.
func (e *Engine) deadline(req *Request) time.Time { return e.ending.limit(req.Deadline) }

// stoppingRefusal returns the refusal r of a request, which says that the VM
// stops if that is why the request has less time than its caller gave it.
func (e *Engine) stoppingRefusal(req *Request, r *Refusal) *Refusal {
	if r.Run != leverid.NotRun || !e.deadline(req).Before(req.Deadline) {
		return r
	}
	switch r.Reason {
	case DeadlinePassed, DeadlineTooNear, Incomplete, Unavailable, ClaimFailed:
		r.Reason, r.RetryAfter = Stopping, endingRetryAfter
	}
	return r
}
