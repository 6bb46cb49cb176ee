package leverengine

import (
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverpool"
)

// part is the state of one shard of a fan-out, or of the only service of a
// request without fan-out.
type part struct {
	service leverid.ServiceID
	// index is that of the shard in the route.
	index int
	done  bool
	// branched is set while only another VM makes attempts, awaited while another VM
	// may report the part.
	branched, awaited bool
	// exhausted is set when no attempt is in flight and no more are allowed.
	exhausted bool
	signature string
	reply     *leverpool.Reply
	attempts  []*attempt
	inFlight  int
	// possibleRuns counts the attempts that have run or may still run,
	// possibleArrivals the ended ones that may have reached an upstream, and
	// notRun those that did not run.
	possibleRuns, possibleArrivals, notRun int
	// retryAt is when the next attempt is due; zero if none is scheduled.
	retryAt time.Time
	// held is set while the part, after a reset, waits for the retry of another
	// part.
	held bool
	// slow is set if the call that settled the part was slow.
	slow bool
	// absent counts the upstreams that do not have what was requested, resets
	// those that closed the connection without a complete response.
	absent, resets int
}

// maxRuns returns the maximum number of upstreams that a part may run on.
func (f *fanout) maxRuns() int { return max(f.route.MaxAttempts-f.req.PriorAttempts, 1) }

// confirmed reports whether a part may get more than one attempt that runs.
func (f *fanout) confirmed() bool { return f.req.Confirmed == nil || f.req.Confirmed() }

// maxSends returns the maximum number of attempts for a part, including those
// that did not run.
func (f *fanout) maxSends() int { return max(f.route.MaxAttempts, 1) + additionalSends }

// waiting reports whether an attempt of the part waits for an upstream with room.
func (p *part) waiting() bool { return slices.ContainsFunc(p.attempts, (*attempt).waiting) }

func (p *part) settled() bool { return p.done || p.exhausted && !p.awaited }
