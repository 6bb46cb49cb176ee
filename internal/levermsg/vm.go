package levermsg

import "arbutuslever.dev/lever/internal/leverid"

// VMState is what the platform's list says of a VM.
type VMState string

// The states in the platform's list.
const (
	Live    VMState = "live"
	Leaving VMState = "leaving"
)

// VM is one entry of the platform's list of VMs.
type VM struct {
	ID     leverid.VMID   `json:"id" msgpack:"i"`
	Domain leverid.Domain `json:"failure-domain" msgpack:"d"`
	// Peer is the host and port for other VMs, Caller that for callers and
	// operators.
	Peer   string  `json:"peer-address" msgpack:"p"`
	Caller string  `json:"caller-address" msgpack:"c"`
	State  VMState `json:"state" msgpack:"s"`
	// Power is the VM's processor in cores.
	Power float64 `json:"power,omitempty" msgpack:"w,omitempty"`
}
