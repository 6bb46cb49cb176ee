// Package leverallow limits the requests of each organisation over all VMs together.
// VMs lend votes to managers, which hold token buckets in proportion to their votes.
// The decisions do no I/O; Allowance carries their messages between the VMs.
package leverallow

import (
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

const (
	// jitterPart of the slack is added to the capacity of the buckets. Requests that
	// arrive at random at 0.6 times the rate are refused less than once in 100,000
	// with 12 tokens more than the burst.
	jitterPart = 0.6
	// handoverPart of the slack is what a bucket may start with at a new manager. It
	// is due once for a change of managers and up to twice for restarts of all VMs
	// within one window.
	handoverPart = 0.1
	// fallbackPart of the slack is used without any manager.
	fallbackPart = 0.1
	// maxValidity is how long a VM may use a token after it has asked for it. Within
	// half of the excess, rate x validity is not counted by the buckets.
	maxValidity = 250 * time.Millisecond
	// replyWait is how long a request waits for the manager's answer.
	replyWait = 30 * time.Millisecond
)

// Terms are what is common to the allowances of all organisations: in any span of
// Window, all VMs together run at most (rate x Window + burst) x (1 + Excess) + Slack
// requests of an organisation. The zero value means that there are no limits.
type Terms struct {
	Window        time.Duration
	Excess, Slack float64
}

// On reports whether there are limits.
func (t Terms) On() bool { return t.Window > 0 }

// capacity is the capacity of a bucket at a manager with all votes.
func (t Terms) capacity(l Limit) float64 { return l.Burst + jitterPart*t.Slack }

func (t Terms) handover() float64 { return handoverPart * t.Slack }

// fallback is the number of requests of an organisation that all VMs without a manager
// may run in a window.
func (t Terms) fallback() int { return int(fallbackPart * t.Slack) }

// validity is how long a token may be used. It is not less than a request waits.
func (t Terms) validity() time.Duration {
	return max(replyWait, min(maxValidity, time.Duration(t.Excess/2*float64(t.Window))))
}

// Limit is the allowance of one organisation by a version of the configuration.
type Limit struct {
	Version     leverid.ConfigVersion
	Rate, Burst float64
}
