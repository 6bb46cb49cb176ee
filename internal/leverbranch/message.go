package leverbranch

import (
	"time"

	"arbutuslever.dev/lever/internal/leverengine"

	"github.com/vmihailenco/msgpack/v5"
)

// branchRequest asks a VM to run a branch.
type branchRequest struct {
	// Common is an encoded commonRequest, the same for all branches.
	Common msgpack.RawMessage `msgpack:"c"`
	Parts  []int              `msgpack:"p"`
}

// commonRequest is what all branches of a request have in common.
type commonRequest struct {
	leverengine.Forwarded
	ShardsHash uint64 `msgpack:"s"`
	// ReportIn is the time until the first report is due.
	ReportIn time.Duration `msgpack:"r"`
}

// branchReply is a message to the sender. The first one accepts or declines the
// branch.
type branchReply struct {
	Declined string `msgpack:"d,omitempty"`
	// WantsExtra asks for the signal allowExtra.
	WantsExtra bool                      `msgpack:"x,omitempty"`
	Report     *leverengine.BranchReport `msgpack:"r,omitempty"`
}

// signal is a message of the sender to the VM that runs its branch.
type signal uint8

const (
	// allowExtra allows more than one attempt at a part.
	allowExtra signal = iota + 1
	// finish ends the branch without its remaining parts.
	finish
)
