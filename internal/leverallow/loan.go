package leverallow

import (
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

const (
	// renewInterval is how often a vote is lent again. Twice the interval and a round
	// trip must be less than the lease, because a manager counts the lease from the
	// stamp of its reply before.
	renewInterval = 200 * time.Millisecond
	// renewTolerance covers ticks that come a little early.
	renewTolerance = 10 * time.Millisecond
	// leaseMargin covers steady clocks that run at different speeds.
	leaseMargin = 20 * time.Millisecond
	// giftPause is added to the window between the changes of managers for which a vote
	// gives handover tokens.
	giftPause = time.Second
	// freshStamp is the greatest age of a manager's stamp with which a vote is lent. The
	// manager counts the lease from the stamp.
	freshStamp = 280 * time.Millisecond
	// freshSums is for how long the sums that a manager has reported are considered.
	freshSums = 600 * time.Millisecond
	// suspectAfter is how long a manager may owe a reply before another one is chosen.
	suspectAfter = 400 * time.Millisecond
	// maxFailures is the number of messages that can't be sent after which another one is
	// chosen.
	maxFailures = 2
	// suspectRetry is how often a manager that owes a reply is sent a message.
	suspectRetry = 500 * time.Millisecond
	// enoughPercent is the sum of votes, in percent, below which a VM looks for a
	// manager with more.
	enoughPercent = 67
	// halfPercent is the sum of votes above which there is no manager with more.
	halfPercent = 50
)

// loan is the vote of this VM in one group.
type loan struct {
	to leverid.VMID
	// boot is the process of the manager.
	boot uint32
	// until is when the manager must have stopped to count the vote.
	until time.Time
	// first is set until the process has replied to a message that lends it the vote,
	// and firstSeq is that message.
	first    bool
	firstSeq uint32
	// changed is when the vote was first lent to this process.
	changed time.Time
	// releaseSeq is the message that takes the vote back, if not 0.
	releaseSeq uint32
	released   time.Time
}

// held reports whether a manager may count the vote.
func (l *loan) held(now time.Time) bool { return now.Before(l.until.Add(leaseMargin)) }

// lend records that the vote is lent, and reports whether it may give handover tokens.
func (l *loan) lend(to leverid.VMID, boot, seq uint32, window time.Duration, now time.Time) (gift bool) {
	if l.to != to || l.boot != boot {
		gift = l.changed.IsZero() || now.Sub(l.changed) > window+giftPause
		l.to, l.boot, l.changed, l.first = to, boot, now, true
	}
	if l.first {
		l.firstSeq = seq
	}
	l.until = now.Add(lease)
	l.releaseSeq = 0
	return gift
}

// peer is what a VM knows of a possible manager.
type peer struct {
	boot  uint32
	stamp int64
	// heard is when the last reply came, sent when the last message was sent and lent
	// when the last one that lends votes.
	heard, sent, lent time.Time
	// late is when the last reply came that votes were too late to count.
	late time.Time
	// failures is the number of messages in succession that could not be sent.
	failures int
	// owes is when the first message without a reply was sent.
	owes time.Time
	sums []byte
}

func (p *peer) suspect(now time.Time) bool {
	return !p.owes.IsZero() && now.Sub(p.owes) > suspectAfter
}

// sum returns the percentage of votes that the manager has reported for a group.
func (p *peer) sum(group, groups int, now time.Time) int {
	if now.Sub(p.heard) > freshSums || len(p.sums) != groups {
		return 0
	}
	return int(p.sums[group])
}
