package leverallow

import (
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

const (
	// demandTime is the time constant of the estimate of an organisation's requests.
	demandTime = time.Second
	// maxSpare bounds the tokens asked for at once for requests to come.
	maxSpare = 1000
)

// Waiter is a request that waits for a token.
type Waiter struct {
	Organisation leverid.OrganisationID
	// Done is closed when Decision is set.
	Done     chan struct{}
	Decision Decision
}

func (w *Waiter) decide(d Decision) {
	w.Decision = d
	close(w.Done)
}

func (w *Waiter) decided() bool {
	select {
	case <-w.Done:
		return true
	default:
		return false
	}
}

// Decision is the result of taking a token. Neither Granted nor Undecided means that
// the allowance is used up.
type Decision struct {
	Granted, Undecided bool
	// Fallback says that the request was granted without a manager.
	Fallback   bool
	RetryAfter time.Duration
}

// tokens are some tokens that may be used before a time.
type tokens struct {
	n     int
	until time.Time
}

// wallet holds a VM's tokens of one organisation and the requests that wait for one.
type wallet struct {
	limit Limit
	held  []tokens
	// returned are unused tokens that may be given back.
	returned tokens
	queue    []*Waiter
	// asked is the message that asks for tokens and has no reply yet, if any.
	asked *askInFlight
	// demand is the estimated number of requests per second, as of demandAt.
	demand   float64
	demandAt time.Time
	// over is what the manager has said last about an allowance that is used up.
	over overLimit
	// fallbackAt is when the VM last ran a request without a manager.
	fallbackAt time.Time
}

// overTime is for how long requests are refused without asking the manager again, so that
// callers that retry without a pause cost few messages. It is the least time after which
// a refused request is told to come again.
const overTime = minWait

// overLimit refuses requests until a time.
type overLimit struct {
	until time.Time
	// next is when the next of the refused requests may come again, step the time
	// between any two.
	next time.Time
	step time.Duration
}

// refuse returns when a request may come again, or 0 if the manager has to be asked.
func (o *overLimit) refuse(window time.Duration, now time.Time) time.Duration {
	if !now.Before(o.until) {
		return 0
	}
	wait := min(max(o.next.Sub(now), minWait), window)
	o.next = o.next.Add(o.step)
	return wait
}

// askInFlight is an ask without a reply.
type askInFlight struct {
	to      leverid.VMID
	seq     uint32
	at      time.Time
	waiters []*Waiter
}

// take takes a token if there is one.
func (w *wallet) take(now time.Time) bool {
	w.countRequest(now)
	if w.returned.n > 0 && now.Before(w.returned.until) {
		w.returned.n--
		return true
	}
	for len(w.held) > 0 {
		t := &w.held[0]
		if t.n > 0 && now.Before(t.until) {
			t.n--
			return true
		}
		w.held = w.held[1:]
	}
	return false
}

func (w *wallet) countRequest(now time.Time) {
	w.demand = w.demandNow(now) + 1/demandTime.Seconds()
	w.demandAt = now
}

// demandNow returns the demand with the decay since the last request.
func (w *wallet) demandNow(now time.Time) float64 {
	return w.demand * max(0, 1-now.Sub(w.demandAt).Seconds()/demandTime.Seconds())
}

// put adds unused tokens that are valid until a time.
func (w *wallet) put(n int, until, now time.Time) {
	if n > 0 && now.Before(until) {
		w.held = append(w.held, tokens{n, until})
	}
}

// giveBack returns the unused tokens to give back to the manager.
func (w *wallet) giveBack(now time.Time) int {
	n := w.returned.n
	w.returned.n = 0
	if !now.Before(w.returned.until) {
		return 0
	}
	return n
}

// ask returns what to ask the manager for, or nil. A request without a reply for
// replyWait does not delay others.
func (w *wallet) ask(name leverid.OrganisationID, to leverid.VMID, seq uint32, validity time.Duration, now time.Time) *Ask {
	if w.asked != nil && now.Sub(w.asked.at) < replyWait {
		return nil
	}
	if len(w.queue) == 0 && w.returned.n == 0 {
		return nil
	}
	a := &Ask{
		Organisation: name, Need: uint16(min(len(w.queue), maxSpare)), Returned: uint16(min(w.giveBack(now), maxSpare)),
		Version: w.limit.Version, Rate: w.limit.Rate, Burst: w.limit.Burst,
	}
	if a.Need > 0 {
		a.Spare = uint16(min(int(w.demandNow(now)*validity.Seconds()), maxSpare))
		w.asked = &askInFlight{to: to, seq: seq, at: now, waiters: slices.Clone(w.queue[:a.Need])}
	}
	return a
}

// receive distributes the granted tokens to the requests that still wait. It returns
// the requests that were undecided.
func (w *wallet) receive(a *askInFlight, g *Grant, validity time.Duration, now time.Time) (undecided []*Waiter) {
	if w.asked == a {
		w.asked = nil
	}
	left, refused := int(g.Granted), 0
	until := a.at.Add(validity)
	if !now.Before(until) {
		left = 0
	}
	for i, r := range a.waiters {
		switch {
		case r.decided():
			continue
		case g.Undecided || i < int(g.Granted) && left == 0:
			undecided = append(undecided, r)
			continue
		case left > 0:
			left--
			r.decide(Decision{Granted: true})
		default:
			r.decide(Decision{RetryAfter: g.wait(refused)})
			refused++
		}
		w.leave(r)
	}
	if refused > 0 {
		w.over = overLimit{now.Add(overTime), now.Add(g.wait(refused)), g.wait(1) - g.wait(0)}
	}
	w.put(left, until, now)
	return undecided
}

// leave removes a request from the queue.
func (w *wallet) leave(r *Waiter) {
	if i := slices.Index(w.queue, r); i >= 0 {
		w.queue = slices.Delete(w.queue, i, i+1)
	}
}
