// Package leverdirectory holds the routes, services and upstreams that a VM
// knows. A View is an immutable snapshot that is replaced as a unit. A request
// that pins a View uses the same version from start to end.
package leverdirectory

import (
	"strconv"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverrank"
)

// Target is one service of a route that sends each request to one upstream.
type Target struct {
	Service leverid.ServiceID
	// Weight is the target's share of the route's requests, relative to the
	// weights of the other targets.
	Weight float64
}

// Route maps requests to services and holds the policy for their attempts,
// time limits and admission.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix. The route with the longest match applies.
	Prefix string
	// Repeatable requests may run more than once.
	Repeatable bool
	// Targets are the services that share the route's requests by weight. It is
	// empty if Shards is not.
	Targets []Target
	// Shards are the services of a fan-out. Each holds one shard of the index.
	Shards []leverid.ServiceID
	// Limit is the maximum number of records in a fan-out's answer.
	Limit int
	// RecordBytes is the size of one record in bytes, or 0 if the shards'
	// answers are not merged.
	RecordBytes int
	// Whole makes a fan-out wait for all shards until the deadline instead of
	// returning an incomplete answer at Objective.
	Whole bool
	// LeastCoverage is the minimum fraction of the shards that an answer must
	// cover.
	LeastCoverage float64
	// MaxAttempts bounds the upstreams that a request may run on. In a fan-out
	// it applies to each shard.
	MaxAttempts int
	// Timeout is the maximum time that a caller waits for an answer.
	Timeout time.Duration
	// Objective is the target response time. Without Whole, a fan-out that has
	// reached LeastCoverage returns its answer by then.
	Objective time.Duration
	Rank      leverid.Rank
	// Public routes need no key.
	Public bool
	// Homes are the regions in which the route's requests may be processed.
	Homes Homes
	// Room names the capacity that routes with the same upstreams share. If it
	// is empty, the first service names it.
	Room leverid.ServiceID
	// Floors are the fractions of that capacity reserved for each rank. Without
	// any, defaults apply.
	Floors leverrank.Floors

	shardsHash uint64
}

// ShardsHash returns a hash of the shards and of how their answers are merged. It
// is 0 until the configuration is in force.
func (r *Route) ShardsHash() uint64 { return r.shardsHash }

func (r *Route) hashShards() uint64 {
	parts := []string{r.Name, strconv.Itoa(r.Limit), strconv.Itoa(r.RecordBytes), strconv.Itoa(r.MaxAttempts)}
	for _, s := range r.Shards {
		parts = append(parts, string(s))
	}
	return leverid.Hash(parts...)
}

// Service is the configuration of one service.
type Service struct {
	// MaxConnections is the maximum number of connections that one upstream
	// accepts from all VMs together.
	MaxConnections int
	// ColdStart is how long its upstreams are cold after their start. While they are, each
	// of them is sent about ColdRate requests per second; there is no bound if that is 0.
	ColdStart time.Duration
	ColdRate  float64
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  leverid.ConfigVersion
	Routes   []Route
	Services map[leverid.ServiceID]Service
	Limits   Limits
	// KeysRequired is set if only callers with the key of an organisation may use the
	// routes that are not public.
	KeysRequired  bool
	Organisations []Organisation
	// Attachment is an encoded object of the store if this Config stands for one
	// of the objects that a configuration is composed of.
	Attachment []byte

	byHost map[string]*prefixes
	shards map[leverid.ServiceID]bool
	byKey  map[KeyDigest]*Organisation
	byName map[leverid.OrganisationID]*Organisation
}

// index groups the routes by host and prefix, the organisations by key and by name, and
// collects the shards.
func (c *Config) index() {
	c.indexOrganisations()
	c.byHost = make(map[string]*prefixes)
	c.shards = make(map[leverid.ServiceID]bool)
	for i := range c.Routes {
		r := &c.Routes[i]
		if c.byHost[r.Host] == nil {
			c.byHost[r.Host] = &prefixes{routes: make(map[string]*Route)}
		}
		c.byHost[r.Host].add(r)
		if len(r.Shards) > 0 {
			r.shardsHash = r.hashShards()
		}
		for _, s := range r.Shards {
			c.shards[s] = true
		}
	}
}

// IsShard reports whether a service is a shard of some fan-out.
func (c *Config) IsShard(s leverid.ServiceID) bool { return c.shards[s] }

// Route returns the route for a host and a path, or nil.
func (c *Config) Route(host, path string) *Route {
	p := c.byHost[host]
	if p == nil {
		return nil
	}
	return p.find(path)
}
