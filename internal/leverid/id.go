// Package leverid holds the named identifiers and units that every other
// package shares, so that an upstream's name can't be passed where a VM's is
// expected.
package leverid

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// VMID names one entry VM. It is unique over the fleet and over restarts of
// the VM under another address.
type VMID string

// Domain names a failure domain.
type Domain string

// ServiceID names one search service.
type ServiceID string

// UpstreamID names one upstream process, which holds one replica of a shard.
type UpstreamID string

// ShardID is the index of a shard within one version of a service's shard map.
type ShardID int

// RequestID is chosen by the caller and kept over its resends.
type RequestID string

// IndexVersion numbers one snapshot of a service's index.
type IndexVersion uint64

// ConfigVersion numbers one accepted configuration.
type ConfigVersion uint64

// Fingerprint identifies the content of a request without its request id.
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

// Hash returns a 64-bit hash of parts. The hash is stable over processes and
// releases, because homes and claim ranges are derived from it.
func Hash(parts ...string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, p := range parts {
		// Digest.WriteString never fails.
		_, _ = d.WriteString(p)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
