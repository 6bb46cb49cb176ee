package leverquery

import (
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// endingRetryAfter is the retry delay suggested to callers whose requests the
// ending VM refuses: another VM can take them at once.
const endingRetryAfter = 10 * time.Millisecond

// EndBy makes all requests end by a time. The Runner must end its own by then.
func (e *Engine) EndBy(at time.Time) { e.ending.Set(e.Timer, at) }

// deadline returns the time by which a request is answered: its deadline, or the
// end of the VM's work if that is before.
func (e *Engine) deadline(req *Request) time.Time { return e.ending.Limit(req.Deadline) }

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
