package levermsg

import "arbutuslever.dev/lever/internal/leverid"

// VMState is the state of a VM in the platform's list.
type VMState string

// The states of a VM.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// VM is one entry of the platform's list of VMs.
type VM struct {
	ID     leverid.VMID   `json:"id" msgpack:"i"`
	Domain leverid.Domain `json:"failure-domain" msgpack:"d"`
	// Peer is the host and port at which other VMs reach this one.
	Peer string `json:"peer-address" msgpack:"p"`
	// Caller is the host and port for callers and operators.
	Caller string  `json:"caller-address" msgpack:"c"`
	State  VMState `json:"state" msgpack:"s"`
	// Power is the VM's processing capacity in cores.
	Power float64 `json:"power,omitempty" msgpack:"w,omitempty"`
	// Since is when the VM first wrote its entry, by its own clock, in Unix
	// seconds. It is 0 if the platform writes the list.
	Since int64 `json:"since,omitempty" msgpack:"t,omitempty"`
}
