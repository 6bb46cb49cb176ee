// Package levermodel simulates upstreams with slots, connection limits, cold
// starts, slow replicas, load shedding, draining, index versions and crashes.
// leverstandin serves the model over HTTP; tests serve it over a simulated
// network in virtual time.
package levermodel

import (
	"encoding/json"
	"fmt"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leverupstream"
)

// Body holds the members of a request body that the model interprets.
type Body struct {
	// Poison crashes every upstream that runs the request.
	Poison bool `json:"poison,omitempty"`
	// Cost multiplies the processing time; 0 means 1.
	Cost float64 `json:"cost,omitempty"`
	// Record is an entry that the request stores. A reply to such a request
	// carries no records.
	Record string `json:"record,omitempty"`
}

// recordsPerShard is the number of records in each shard.
const recordsPerShard = 3

// Key returns the key of record n of the service.
func Key(s leverid.ServiceID, n int) string { return fmt.Sprintf("%s-%05d", s, n) }

// shardRecords returns the records of a shard at an index version. Each record
// has the version as its revision, so that tests detect an answer that mixes
// versions.
func shardRecords(s leverid.ServiceID, shard leverid.ShardID, shards int, v leverid.IndexVersion) []levermsg.Record {
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

// ShardOf returns the shard that holds record n.
func ShardOf(n, shards int) leverid.ShardID { return leverid.ShardID(n % shards) }

// selectPage returns the records after req.After, at most req.Limit of them.
func selectPage(rs []levermsg.Record, req *leverupstream.Call) []levermsg.Record {
	for len(rs) > 0 && rs[0].Key <= req.After {
		rs = rs[1:]
	}
	if req.Limit > 0 && len(rs) > req.Limit {
		rs = rs[:req.Limit]
	}
	return rs
}

// RecordCount returns the number of records of a service that has the given
// number of shards.
func RecordCount(shards int) int { return shards * recordsPerShard }
