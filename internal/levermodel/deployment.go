package levermodel

import (
	"fmt"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leversnapshot"
)

// App is a group of services that have the same size and load profile.
type App struct {
	Name     string
	Services int
	// ShardCount is the number of shards of each service.
	ShardCount int
	// Slots and Connections are the limits of each upstream.
	Slots       int
	Connections int
	// ConnectCost is the time that opening a connection takes.
	ConnectCost time.Duration
	// Median is the median processing time of a request.
	Median time.Duration
	// Rank is the rank of most of the app's requests.
	Rank leverid.Rank
}

// Deployment describes the services and failure domains of one user.
type Deployment struct {
	Name    string
	Domains []leverid.Domain
	// DomainDelay is the one-way network delay between failure domains.
	DomainDelay time.Duration
	// ClientDelay is the one-way network delay between callers and VMs.
	ClientDelay time.Duration
	Apps        []App
	// Replicas is the number of upstreams per shard, each in a different failure
	// domain.
	Replicas int
}

// TwNorth returns the deployment of Lin Family Detector Services, a user of this
// system.
func TwNorth() Deployment {
	return Deployment{
		Name: "tw-north", Domains: []leverid.Domain{"taoyuan", "hsinchu", "keelung"},
		DomainDelay: 1500 * time.Microsecond, ClientDelay: time.Millisecond, Replicas: 2,
		Apps: []App{
			{"portal", 20, 2, 2, 25, 5 * time.Millisecond, 5 * time.Millisecond, leverid.Urgent},
			{"tablet", 30, 2, 2, 25, 5 * time.Millisecond, 5 * time.Millisecond, leverid.Routine},
			{"certificate", 1, 5, 5, 100, time.Millisecond, 5 * time.Millisecond, leverid.Routine},
			{"billing", 1, 3, 5, 100, time.Millisecond, 8 * time.Millisecond, leverid.Bulk},
		},
	}
}

// MarocNord returns the deployment of the gutter-rounds association, a user of
// this system.
func MarocNord() Deployment {
	return Deployment{
		Name: "maroc-nord", Domains: []leverid.Domain{"tanger-a", "rabat-b", "fes-c"},
		DomainDelay: 1500 * time.Microsecond, ClientDelay: time.Millisecond, Replicas: 2,
		Apps: []App{
			{"console", 20, 2, 2, 25, 5 * time.Millisecond, 5 * time.Millisecond, leverid.Urgent},
			{"member", 30, 2, 2, 25, 5 * time.Millisecond, 5 * time.Millisecond, leverid.Routine},
			{"rounds", 1, 5, 4, 40, time.Millisecond, 5 * time.Millisecond, leverid.Routine},
			{"invoicing", 1, 3, 4, 40, time.Millisecond, 8 * time.Millisecond, leverid.Bulk},
		},
	}
}

// Scaled returns a copy of the deployment with at most n services per app.
func (d Deployment) Scaled(n int) Deployment {
	apps := make([]App, len(d.Apps))
	for i, a := range d.Apps {
		a.Services = min(a.Services, n)
		apps[i] = a
	}
	d.Apps = apps
	return d
}

// ServiceID returns the id of service n of the app, counted from 1.
func (a App) ServiceID(n int) leverid.ServiceID {
	if a.Services == 1 {
		return leverid.ServiceID(a.Name)
	}
	return leverid.ServiceID(fmt.Sprintf("%s-%02d", a.Name, n))
}

// Index returns the index object of service n of the app at version v. The
// address function maps an upstream id to its address.
func (d Deployment) Index(a App, n int, v leverid.IndexVersion, address func(leverid.UpstreamID) string) *leversnapshot.Index {
	x := &leversnapshot.Index{Service: a.ServiceID(n)}
	m := leversnapshot.Map{Version: v}
	for shard := range a.ShardCount {
		var s leversnapshot.Shard
		for r := range d.Replicas {
			id := leverid.UpstreamID(fmt.Sprintf("%s-s%d-r%d", x.Service, shard, r))
			x.Upstreams = append(x.Upstreams, leversnapshot.Upstream{
				ID: id, Address: address(id), Domain: d.Domains[(shard+n+r)%len(d.Domains)],
				Slots: a.Slots, Connections: a.Connections,
			})
			s.Replicas = append(s.Replicas, id)
		}
		m.Shards = append(m.Shards, s)
	}
	x.Maps = []leversnapshot.Map{m}
	return x
}
