// Package levermodel models the systems that are served: upstreams with slots,
// connection limits, cold starts, stragglers, sheds, drains, index versions
// and crashes. The stand-in program serves it over HTTP, tests over a network in
// virtual time.
package levermodel

import (
	"encoding/json"
	"fmt"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverupstream"
)

// Body is the part of a request's body that the model reads.
type Body struct {
	// Poison crashes each upstream that runs the request.
	Poison bool `json:"poison,omitempty"`
	// Cost multiplies the time of the work; 0 counts as 1.
	Cost float64 `json:"cost,omitempty"`
	// Record is a new entry that the request logs.
	Record string `json:"record,omitempty"`
}

// recordsPerShard is the number of records that each shard holds at the least.
const recordsPerShard = 3

// Key returns the key of the service's record number n.
func Key(s leverid.ServiceID, n int) string { return fmt.Sprintf("%s-%05d", s, n) }

// records returns what a shard of a version holds: the keys that hash to it,
// each at the version's revision, so that a mix of versions shows.
func records(s leverid.ServiceID, shard leverid.ShardID, shards int, v leverid.IndexVersion) []levermsg.Record {
	var out []levermsg.Record
	for n := range RecordCount(shards) {
		key := Key(s, n)
		if ShardOf(n, shards) != shard {
			continue
		}
		value, _ := json.Marshal(struct {
			Version leverid.IndexVersion `json:"version"`
		}{v})
		out = append(out, levermsg.Record{Key: key, Revision: uint64(v), Value: value})
	}
	return out
}

// ShardOf returns the shard of record number n.
func ShardOf(n, shards int) leverid.ShardID { return leverid.ShardID(n % shards) }

// page cuts records to what a request asked for.
func page(rs []levermsg.Record, req *leverupstream.Call) []levermsg.Record {
	for len(rs) > 0 && rs[0].Key <= req.After {
		rs = rs[1:]
	}
	if req.Limit > 0 && len(rs) > req.Limit {
		rs = rs[:req.Limit]
	}
	return rs
}

// RecordCount returns the number of records of a service with so many shards.
func RecordCount(shards int) int { return shards * recordsPerShard }
