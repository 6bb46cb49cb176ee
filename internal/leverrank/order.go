package leverrank

import (
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// Flow is what an Order knows of a call that waits.
type Flow struct {
	Organisation leverid.OrganisationID
	// Weight is the organisation's share relative to that of others, or 0 for the mean
	// of theirs.
	Weight float64
	// Work is what the call takes in seconds, as far as it is known.
	Work float64
}

// minFlowWork stands for work that is not known yet.
const minFlowWork = float64(time.Millisecond) / float64(time.Second)

// Order decides in which order the calls that wait are sent, so that an organisation's
// calls wait for those of its own and not for all calls of another that sends more. Each
// call has a position; calls without an organisation have one together. The calls of one
// organisation keep their order. The zero value is ready to use. It is not safe for
// concurrent use.
type Order struct {
	// now is the position of the last call that was sent.
	now   float64
	flows map[leverid.OrganisationID]flowState
}

type flowState struct {
	// next is the position of the next call.
	next, weight float64
}

// Add returns the position of a call that begins to wait: the least is sent first.
func (o *Order) Add(f Flow) float64 {
	if o.flows == nil {
		o.flows = make(map[leverid.OrganisationID]flowState)
	}
	s := o.flows[f.Organisation]
	position := max(o.now, s.next)
	weight := f.Weight
	if weight <= 0 {
		weight = o.meanWeight()
	}
	o.flows[f.Organisation] = flowState{next: position + max(f.Work, minFlowWork)/weight, weight: f.Weight}
	return position
}

// Sent records that the call at a position is sent.
func (o *Order) Sent(position float64) { o.now = max(o.now, position) }

// meanWeight returns the mean weight of the organisations that have one, or 1.
func (o *Order) meanWeight() float64 {
	sum, n := 0.0, 0
	for _, s := range o.flows {
		if s.weight > 0 {
			sum += s.weight
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}
