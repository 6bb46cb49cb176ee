package leverallow

import (
	"time"

	"arbutuslever.dev/lever/internal/leverid"
)

// GroupSet is a set of groups of organisations.
type GroupSet uint64

func (s GroupSet) has(g int) bool { return s&(1<<g) != 0 }

func (s *GroupSet) add(g int) { *s |= 1 << g }

// Message is what a VM sends to a manager. It is encoded as an array, so the order of
// the fields is part of the protocol.
type Message struct {
	//lint:ignore U1000 the codec reads this field by reflection
	_msgpack struct{} `msgpack:",as_array"`

	// Boot identifies the sender's process, Seq counts its messages.
	Boot, Seq uint32
	// EchoBoot and Echo are from the manager's last reply. They tell the manager that
	// the message was sent after it.
	EchoBoot uint32
	Echo     int64
	// Groups is the number of groups, and Lend, Gift and Release are the groups whose
	// vote is lent, may give handover tokens, and is taken back.
	Groups              uint8
	Lend, Gift, Release GroupSet
	// Listed is the number of VMs in the sender's list. Unconfirmed is set if the list
	// may be outdated.
	Listed      uint16
	Unconfirmed bool
	Asks        []Ask
}

// Ask asks for the tokens of one organisation.
type Ask struct {
	//lint:ignore U1000 the codec reads this field by reflection
	_msgpack struct{} `msgpack:",as_array"`

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
	//lint:ignore U1000 the codec reads this field by reflection
	_msgpack struct{} `msgpack:",as_array"`

	// Boot identifies the manager's process. Stamp is a reading of its steady clock in
	// milliseconds, for the next message's Echo.
	Boot  uint32
	Stamp int64
	// Seq is that of the message.
	Seq uint32
	// Sums holds the sums of the manager's votes for each group, in percent.
	Sums []byte
	// Grants are the replies to Asks in their order.
	Grants []Grant
}

// Grant is the reply to an Ask.
type Grant struct {
	//lint:ignore U1000 the codec reads this field by reflection
	_msgpack struct{} `msgpack:",as_array"`

	Organisation leverid.OrganisationID
	// Granted is the number of tokens.
	Granted uint16
	// Undecided says that the manager has too few votes.
	Undecided bool
	// WaitMS is when the first of the refused requests may come again, StepMS the time
	// between any two.
	WaitMS, StepMS uint32
}

// wait returns when the i-th of the refused requests may come again.
func (g *Grant) wait(i int) time.Duration {
	return time.Duration(int64(g.WaitMS)+int64(i)*int64(g.StepMS)) * time.Millisecond
}
