// Package leverdirectory holds what a VM knows of the routes, the services and
// the upstreams. A View is immutable and is swapped whole, so that a request
// that pins one works by one version from its start to its end.
package leverdirectory

import (
	"slices"
	"strings"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverrank"
)

// Target is one service of a route that sends each request to one upstream.
type Target struct {
	Service leverid.ServiceID
	// Weight is the target's part of the route's requests, in relation to the
	// other targets' weights.
	Weight float64
}

// Route says where requests go and what they are due.
type Route struct {
	Name string
	Host string
	// Prefix is what the path begins with. The longest one decides.
	Prefix string
	// Repeatable requests may run more than once.
	Repeatable bool
	// Targets is empty if Shards is not.
	Targets []Target
	// Shards are the services of a fan-out: each holds one part of the index.
	Shards []leverid.ServiceID
	// Limit is the number of records in a fan-out's answer.
	Limit int
	// RecordBytes is the size of one record, 0 if the shards' answers are not
	// merged.
	RecordBytes int
	// Whole says that an answer is held for all shards until its time is over,
	// also after the objective.
	Whole bool
	// LeastCoverage is the least part of the shards that an answer must have.
	LeastCoverage float64
	// MaxAttempts bounds the upstreams that one request may run on, for each
	// shard of a fan-out.
	MaxAttempts int
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full value.
	Objective time.Duration
	Rank      leverid.Rank
	// Room names the routes that compete for the same upstreams; the first
	// service does if it is empty.
	Room leverid.ServiceID
	// Floors are what the ranks keep of the room; without any, defaults count.
	Floors leverrank.Floors
}

// Service is what a configuration says of one service.
type Service struct {
	// MaxConnections bounds the connections that one upstream accepts from all
	// VMs together.
	MaxConnections int
}

// Limits bound what a caller may send.
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
	// Attachment is the object of the store that an item stands for, where one
	// configuration is made of several.
	Attachment []byte

	byHost map[string][]*Route
	shards map[leverid.ServiceID]bool
}

// index sorts the routes of each host, the longest prefix first.
func (c *Config) index() {
	c.byHost = make(map[string][]*Route)
	c.shards = make(map[leverid.ServiceID]bool)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
		for _, s := range r.Shards {
			c.shards[s] = true
		}
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// IsShard reports whether a service is a shard of some fan-out.
func (c *Config) IsShard(s leverid.ServiceID) bool { return c.shards[s] }

// Route returns the route for a host and a path, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
