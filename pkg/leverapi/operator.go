package leverapi

import (
	"encoding/json"
	"time"
)

// ConfigPatch is the body of a POST to /v1/operator/config.
type ConfigPatch struct {
	// ID identifies the patch when it is submitted again.
	ID string `json:"id"`
	// Base is the configuration version that the patch applies to.
	Base uint64 `json:"base"`
	// By names the operator.
	By string `json:"by,omitempty"`
	// Merge is a JSON merge patch (RFC 7396).
	Merge json.RawMessage `json:"merge"`
}

// ConfigOutcome is the answer to a ConfigPatch.
type ConfigOutcome struct {
	// Verdict is accepted, conflict, rejected, unknown or unavailable. After
	// unknown, the patch may have been applied.
	Verdict string `json:"verdict"`
	PatchID string `json:"patch-id"`
	// Version is the version that the patch produced if it was accepted, else
	// the current version if it is known.
	Version uint64 `json:"version"`
	Detail  string `json:"detail,omitempty"`
}

// ConfigApplied is an accepted patch in the configuration's history.
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
	// History lists the latest accepted patches, the oldest first.
	History []ConfigApplied `json:"history"`
}

// VMStatus is the status that a VM reports about itself.
type VMStatus struct {
	VM     string `json:"vm"`
	Domain string `json:"failure-domain"`
	// Config is the version of the configuration in force.
	Config  uint64 `json:"config"`
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`
	// Services is the number of service indexes that the VM holds.
	Services int `json:"services"`
	// InFlight is the number of requests in progress.
	InFlight int   `json:"in-flight"`
	UptimeMS int64 `json:"uptime-ms"`
	// Counters are the VM's counters by name. They are sent only on request.
	Counters map[string]int64 `json:"counters,omitempty"`
}

// FleetStatus summarizes the status of all VMs.
type FleetStatus struct {
	// Version is the newest configuration version in force on any VM.
	Version uint64     `json:"version"`
	VMs     []VMStatus `json:"vms"`
	// InForce is the number of VMs on which Version is in force.
	InForce int `json:"in-force"`
	// Silent lists the VMs that did not answer in time.
	Silent []string `json:"silent"`
	// Behind lists the VMs with an older version than Version.
	Behind []string `json:"behind"`
	// Answered is the VM that collected the status.
	Answered string `json:"answered-by"`
}

// VM is one entry of the list of VMs.
type VM struct {
	ID     string `json:"id"`
	Domain string `json:"failure-domain"`
	Peer   string `json:"peer-address"`
	Caller string `json:"caller-address"`
	// State is the state in the platform's list.
	State string `json:"state"`
	// Seen is the state as the answering VM observes it: live, doubted if it is
	// listed but receives no work, or "live, not listed".
	Seen string `json:"seen"`
}

// Event is one entry of the timeline.
type Event struct {
	// Stamp is the time in microseconds since the Unix epoch.
	Stamp   int64  `json:"stamp"`
	VM      string `json:"vm"`
	Kind    string `json:"kind"`
	Subject string `json:"subject,omitempty"`
	Detail  string `json:"detail,omitempty"`
}
