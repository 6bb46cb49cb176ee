// Package leversnapshot stores the indexes of services, pins a version of an
// index for each query, and selects the version at which a query is restarted.
// It does no I/O.
package leversnapshot

import (
	"encoding/json"

	"arbutuslever.dev/lever/internal/leverid"

	"github.com/juju/errors"
)

// Upstream is a process that serves one replica of one shard.
type Upstream struct {
	ID      leverid.UpstreamID `json:"id"`
	Address string             `json:"address"`
	Domain  leverid.Domain     `json:"failure-domain"`
	// Slots is the number of requests that it processes concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that it accepts.
	Connections int `json:"connections"`
}

// Shard is one partition of an index in one version of the shard map.
type Shard struct {
	Replicas []leverid.UpstreamID `json:"replicas"`
}

// Map is the shard map of one version of an index.
type Map struct {
	Version leverid.IndexVersion `json:"version"`
	Shards  []Shard              `json:"shards"`
}

// Index is the object in which the owner of a service publishes the service's
// upstreams and the shard maps of the versions that can be queried, in
// ascending order.
type Index struct {
	Service   leverid.ServiceID `json:"service"`
	Upstreams []Upstream        `json:"upstreams"`
	Maps      []Map             `json:"maps"`

	byID map[leverid.UpstreamID]Upstream
}

const (
	maxShards   = 20000
	maxReplicas = 16
)

// ParseIndex decodes and validates an index object. It returns a NotValid
// error that names the invalid field.
func ParseIndex(b []byte) (*Index, error) {
	var x Index
	if err := json.Unmarshal(b, &x); err != nil {
		return nil, errors.NewNotValid(err, "index object")
	}
	if err := x.validate(); err != nil {
		return nil, err
	}
	return &x, nil
}

func (x *Index) validate() error {
	if x.Service == "" {
		return errors.NotValidf("service: empty name")
	}
	if err := x.validateUpstreams(); err != nil {
		return err
	}
	if len(x.Maps) == 0 {
		return errors.NotValidf("maps: empty list")
	}
	for i, m := range x.Maps {
		if i > 0 && m.Version <= x.Maps[i-1].Version {
			return errors.NotValidf("maps[%d].version: %d after %d", i, m.Version, x.Maps[i-1].Version)
		}
		if err := x.validateMap(m); err != nil {
			return errors.Annotatef(err, "maps[%d]", i)
		}
	}
	return nil
}

func (x *Index) validateUpstreams() error {
	x.byID = make(map[leverid.UpstreamID]Upstream, len(x.Upstreams))
	for i, u := range x.Upstreams {
		if u.ID == "" || u.Address == "" {
			return errors.NotValidf("upstreams[%d]: empty id or address", i)
		}
		if u.Slots < 1 || u.Connections < 1 {
			return errors.NotValidf("upstreams[%d]: slots %d, connections %d", i, u.Slots, u.Connections)
		}
		if _, ok := x.byID[u.ID]; ok {
			return errors.NotValidf("upstreams[%d].id: duplicate %q", i, u.ID)
		}
		x.byID[u.ID] = u
	}
	return nil
}

func (x *Index) validateMap(m Map) error {
	if m.Version == 0 || len(m.Shards) == 0 || len(m.Shards) > maxShards {
		return errors.NotValidf("version %d with %d shards", m.Version, len(m.Shards))
	}
	for i, s := range m.Shards {
		if len(s.Replicas) == 0 || len(s.Replicas) > maxReplicas {
			return errors.NotValidf("shards[%d]: %d replicas", i, len(s.Replicas))
		}
		for _, id := range s.Replicas {
			if _, ok := x.byID[id]; !ok {
				return errors.NotValidf("shards[%d]: unknown upstream %q", i, id)
			}
		}
	}
	return nil
}

// Upstream returns the upstream with the given id.
func (x *Index) Upstream(id leverid.UpstreamID) (Upstream, bool) {
	u, ok := x.byID[id]
	return u, ok
}

// Map returns the shard map of a version.
func (x *Index) Map(v leverid.IndexVersion) (Map, bool) {
	for _, m := range x.Maps {
		if m.Version == v {
			return m, true
		}
	}
	return Map{}, false
}

// Newest returns the shard map of the newest version.
func (x *Index) Newest() Map { return x.Maps[len(x.Maps)-1] }
