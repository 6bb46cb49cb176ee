package leverapi

import (
	"encoding/json"
	"time"
)

// ConfigPatch is the body of a POST to /v1/operator/config.
type ConfigPatch struct {
	ID   string `json:"id"`
	Base uint64 `json:"base"`
	By   string `json:"by,omitempty"`
	// Merge is a JSON merge patch (RFC 7396).
	Merge json.RawMessage `json:"merge"`
}

// ConfigOutcome is the answer to a ConfigPatch.
type ConfigOutcome struct {
	// Verdict is accepted, conflict, rejected, unknown or unavailable.
	Verdict string `json:"verdict"`
	PatchID string `json:"patch-id"`
	// Version is the accepted version, or the present one.
	Version uint64 `json:"version"`
	Detail  string `json:"detail,omitempty"`
}

// ConfigApplied is one accepted patch.
type ConfigApplied struct {
	ID      string    `json:"id"`
	Version uint64    `json:"version"`
	By      string    `json:"by,omitempty"`
	At      time.Time `json:"at"`
}

// Config is the configuration in force on a VM.
type Config struct {
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"document"`
	History  []ConfigApplied `json:"history"`
}

// VMStatus is what one VM says of itself.
type VMStatus struct {
	VM     string `json:"vm"`
	Domain string `json:"failure-domain"`
	// Config is the version in force.
	Config  uint64 `json:"config"`
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`
	// Services is the number of indexes that the VM has.
	Services int   `json:"services"`
	InFlight int   `json:"in-flight"`
	UptimeMS int64 `json:"uptime-ms"`
	// Counters are the VM's metrics; they are only sent when asked for.
	Counters map[string]int64 `json:"counters,omitempty"`
}

// FleetStatus sums up the VMs.
type FleetStatus struct {
	// Version is the newest configuration that any VM has.
	Version  uint64     `json:"version"`
	VMs      []VMStatus `json:"vms"`
	InForce  int        `json:"in-force"`
	Silent   []string   `json:"silent"`
	Behind   []string   `json:"behind"`
	Answered string     `json:"answered-by"`
}

// VM is one entry of the list of VMs.
type VM struct {
	ID     string `json:"id"`
	Domain string `json:"failure-domain"`
	Peer   string `json:"peer-address"`
	Caller string `json:"caller-address"`
	// State is the platform's word, Seen what the answering VM has found.
	State string `json:"state"`
	Seen  string `json:"seen"`
}

// Event is one entry of the time line.
type Event struct {
	// Stamp is in microseconds since the Unix epoch.
	Stamp   int64  `json:"stamp"`
	VM      string `json:"vm"`
	Kind    string `json:"kind"`
	Subject string `json:"subject,omitempty"`
	Detail  string `json:"detail,omitempty"`
}
