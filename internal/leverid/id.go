// Package leverid defines the identifier types that the other packages share.
// They are distinct types, so that an upstream's id can't be passed where a
// VM's id is expected.
package leverid

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// VMID identifies an entry VM. It is unique in the fleet and stays the same if
// the VM restarts under another address.
type VMID string

// Domain identifies a failure domain.
type Domain string

// Region identifies a region, which holds failure domains.
type Region string

// OrganisationID is the name of an organisation, whose callers share an allowance.
type OrganisationID string

// ServiceID identifies a search service.
type ServiceID string

// UpstreamID identifies an upstream process, which holds one replica of a
// shard.
type UpstreamID string

// ShardID is the index of a shard within one version of a service's shard map.
type ShardID int

// RequestID identifies a request. The caller chooses it and uses the same id
// when it sends the request again.
type RequestID string

// IndexVersion is the number of a snapshot of a service's index.
type IndexVersion uint64

// ConfigVersion is the number of an accepted configuration.
type ConfigVersion uint64

// Fingerprint is a hash of a request's content, without its request id.
type Fingerprint uint64

// ObjectKey is the path of an object in the platform's store.
type ObjectKey string

// String returns the version in decimal.
func (v IndexVersion) String() string { return strconv.FormatUint(uint64(v), 10) }

// String returns the fingerprint as sixteen hexadecimal digits.
func (f Fingerprint) String() string {
	s := strconv.FormatUint(uint64(f), 16)
	return "0000000000000000"[len(s):] + s
}

// Hash returns a 64-bit hash of parts. The hash must stay the same across
// processes and releases, because owners of keys, claim ranges and the shards
// of keyed requests are derived from it.
func Hash(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		// The separator gives ("ab", "c") and ("a", "bc") different hashes.
		// Writes to a Digest never return an error.
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
