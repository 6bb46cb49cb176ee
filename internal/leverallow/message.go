package leverallow

import (
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// GroupSet is a set of groups of organisations.
type GroupSet uint64

func (s GroupSet) has(g int) bool { return s&(1<<g) != 0 }

func (s *GroupSet) add(g int) { *s |= 1 << g }

// Message is what a VM sends to a manager.
type Message struct {
	// Boot identifies the sender's process, Seq counts its messages.
	Boot, Seq uint32
	// EchoBoot and Echo are from the manager's last reply. They tell the manager that
	// the message was sent after it.
	EchoBoot uint32
	Echo     int64
	// Groups is the number of groups. Lend and Release are those whose vote is lent and
	// taken back. Of those in Lend, First are the ones that another manager may have
	// had before, and Gift those that may give handover tokens.
	Groups                     uint8
	Lend, First, Gift, Release GroupSet
	// Listed is the number of VMs in the sender's list. Unconfirmed is set if the list
	// may be outdated.
	Listed      uint16
	Unconfirmed bool
	Asks        []Ask
}

// Ask asks for the tokens of one organisation.
type Ask struct {
	Organisation leverid.OrganisationID
	// Need is the number of tokens for requests that wait, Spare for those to come.
	Need, Spare uint16
	// Returned is the number of unused tokens given back.
	Returned uint16
	// Limit is by the sender's configuration.
	Version     leverid.ConfigVersion
	Rate, Burst float64
}

func (a *Ask) limit() Limit { return Limit{a.Version, a.Rate, a.Burst} }

// Reply is a manager's reply to a Message.
type Reply struct {
	// Boot identifies the manager's process. Stamp is a reading of its steady clock in
	// milliseconds, for the next message's Echo.
	Boot  uint32
	Stamp int64
	// Seq is that of the message.
	Seq uint32
	// Sums holds the sums of the manager's votes for each group, in percent.
	Sums []byte
	// Hints name managers with the majority for groups in which this one has not got it.
	Hints []Hint
	// Late says that the votes came too late to count.
	Late bool
	// Grants are the replies to Asks in their order.
	Grants []Grant
}

// Hint names the manager of a group.
type Hint struct {
	Group   uint8
	Manager leverid.VMID
}

// Grant is the reply to an Ask.
type Grant struct {
	Organisation leverid.OrganisationID
	// Granted is the number of tokens.
	Granted uint16
	// Undecided says that the manager has too few votes.
	Undecided bool
	// WaitMicros is when the first of the refused requests may come again, StepMicros the
	// time between any two.
	WaitMicros, StepMicros uint32
}

// wait returns when the i-th of the refused requests may come again.
func (g *Grant) wait(i int) time.Duration {
	return time.Duration(int64(g.WaitMicros)+int64(i)*int64(g.StepMicros)) * time.Microsecond
}
