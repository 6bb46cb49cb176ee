package leverrank

import "arbutuslever.dev/lever/internal/leverid"

// Ticket is a unit of work in a Queue.
type Ticket struct {
	Rank leverid.Rank
	// Run starts the work. The caller of Pop calls it.
	Run func()

	withdrawn bool
	queued    bool
}

// Waiting reports whether the work is in a queue.
func (t *Ticket) Waiting() bool { return t.queued && !t.withdrawn }

// Queue orders the work for one upstream: the most urgent rank first, but each
// rank at least at its floor. Within a rank, work is served in order of
// arrival. The zero value has no floors. It is not safe for concurrent use.
type Queue struct {
	// Floors are fractions of the turns. Each turn serves one ticket.
	Floors Floors

	ranks  [leverid.RankCount][]*Ticket
	length [leverid.RankCount]int
	credit [leverid.RankCount]float64
}

// maxCredit is the largest credit, in turns, that a rank can gain from its
// floor.
const maxCredit = 2

// Push adds t at the end of its rank.
func (q *Queue) Push(t *Ticket) {
	t.queued = true
	q.ranks[t.Rank] = append(q.ranks[t.Rank], t)
	q.length[t.Rank]++
}

// Withdraw removes t. It does nothing if t was never pushed or has left the
// queue.
func (q *Queue) Withdraw(t *Ticket) {
	if !t.queued || t.withdrawn {
		return
	}
	t.withdrawn = true
	q.length[t.Rank]--
}

// Len returns the number of tickets of all ranks.
func (q *Queue) Len() int {
	n := 0
	for _, l := range q.length {
		n += l
	}
	return n
}

// Ahead returns the number of tickets of rank r and of more urgent ranks.
func (q *Queue) Ahead(r leverid.Rank) int {
	n := 0
	for i := leverid.Rank(0); i <= r; i++ {
		n += q.length[i]
	}
	return n
}

// Turns estimates how many tickets are served before a new one of rank r if no
// more urgent one arrives. The estimate is Ahead, which does not count the
// turns that less urgent ranks take by their floors, or, if that is less, the
// number of turns in which the floor of r alone serves its tickets and the new
// one.
func (q *Queue) Turns(r leverid.Rank) float64 {
	turns := float64(q.Ahead(r))
	if q.Floors[r] > 0 {
		turns = min(turns, float64(q.length[r]+1)/q.Floors[r])
	}
	return turns
}

// Pop returns the ticket to serve next, or nil if there is none.
func (q *Queue) Pop() *Ticket {
	r, ok := q.nextRank()
	if !ok {
		return nil
	}
	q.updateCredits(r)
	return q.popRank(r)
}

// nextRank returns the rank with the most credit above one turn, or else the
// most urgent rank with tickets.
func (q *Queue) nextRank() (leverid.Rank, bool) {
	best, found := leverid.Rank(0), false
	for _, r := range leverid.Ranks() {
		if q.length[r] == 0 {
			continue
		}
		if !found || (q.credit[r] >= 1 && q.credit[r] > max(q.credit[best], 1)) {
			best, found = r, true
		}
	}
	return best, found
}

// updateCredits adds the floor of each rank with tickets to its credit and
// charges the served rank one turn.
func (q *Queue) updateCredits(served leverid.Rank) {
	for r := range q.credit {
		if q.length[r] > 0 {
			q.credit[r] = min(q.credit[r]+q.Floors[r], maxCredit)
		}
	}
	q.credit[served] = max(q.credit[served]-1, 0)
}

func (q *Queue) popRank(r leverid.Rank) *Ticket {
	for len(q.ranks[r]) > 0 {
		t := q.ranks[r][0]
		q.ranks[r][0] = nil
		q.ranks[r] = q.ranks[r][1:]
		if t.withdrawn {
			continue
		}
		t.queued = false
		q.length[r]--
		return t
	}
	return nil
}
