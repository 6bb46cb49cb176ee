package leverengine

import (
	"sync"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverrank"
)

const (
	// slowCall is the part of the objective that a single call may take. A
	// fan-out needs time beside its slowest call.
	slowCall = 0.28
	// longestComeBack bounds the pause proposed to a caller that was refused.
	longestComeBack = 2 * time.Second
)

// rooms holds what is known of the services' room, by the room that a route
// names or its first service: routes over one index share it. The zero value is ready to use. It is
// safe for concurrent use.
type rooms struct {
	mu        sync.Mutex
	byService map[leverid.ServiceID]*leverrank.Room
}

func (r *rooms) of(s leverid.ServiceID, floors leverrank.Floors) *leverrank.Room {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byService == nil {
		r.byService = make(map[leverid.ServiceID]*leverrank.Room)
	}
	room := r.byService[s]
	if room == nil {
		room = &leverrank.Room{Floors: floors}
		r.byService[s] = room
	}
	return room
}

// admit refuses a request for which the services have no room. It has not run.
func (f *fanout) admit() *Outcome {
	if !f.begun.Before(f.deadline) {
		return &Outcome{Verdict: Late, Reason: "the time was over when the request came"}
	}
	if most := f.engine.MostInFlight; most > 0 && f.engine.InFlight() > most {
		return &Outcome{Verdict: NotRun, Cause: NoRoom, RetryAfter: comeBack, Reason: "too many requests in flight"}
	}
	f.work = f.engine.Health.Work(f.class).Seconds()
	if f.room.Admit(f.route.Rank, f.work, f.begun) {
		return nil
	}
	// The less is let in, the later the caller should come back.
	pause := time.Duration(float64(comeBack) / max(f.room.Fraction(f.route.Rank), 0.01))
	return &Outcome{Verdict: NotRun, Cause: NoRoom, RetryAfter: min(pause, longestComeBack), Reason: "no room for this rank"}
}
