// Package levercatalog derives a node's routes and upstreams from the native
// API's objects in the platform's store: the configuration document and the
// services' indexes.
package levercatalog

import (
	"maps"
	"slices"
	"strings"
	"time"

	"arbutuslever.dev/lever/internal/leverconfig"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/leverstore"
	"arbutuslever.dev/lever/internal/leverupstream"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// object is a stored object in the encoding that VMs send to each other.
type object struct {
	Key      leverid.ObjectKey   `msgpack:"k"`
	Revision leverstore.Revision `msgpack:"r"`
	Value    []byte              `msgpack:"v"`
}

// objects holds the objects that a configuration is composed of, by key.
type objects map[leverid.ObjectKey]object

// Contents holds the objects that a configuration was composed of, parsed and
// checked.
type Contents struct {
	Stored   *leverconfig.Stored
	Document *leverconfig.Document
	Indexes  []*leversnapshot.Index

	objects objects
}

// Empty returns the contents that apply until the store has been read: the
// defaults and no service.
func Empty() *Contents {
	doc, err := (&leverconfig.Stored{}).Check()
	if err != nil {
		panic("levercatalog: default configuration is not valid: " + err.Error())
	}
	return &Contents{Stored: &leverconfig.Stored{}, Document: doc}
}

// contents parses the objects, each of which was checked before it was accepted.
func (o objects) contents() (*Contents, error) {
	out := Empty()
	out.objects = o
	for _, key := range slices.Sorted(maps.Keys(o)) {
		if key == leverstore.ConfigKey {
			stored, err := leverconfig.ParseStored(o[key].Value)
			if err != nil {
				return nil, err
			}
			doc, err := stored.Check()
			if err != nil {
				return nil, err
			}
			out.Stored, out.Document = stored, doc
			continue
		}
		x, err := leversnapshot.ParseIndex(o[key].Value)
		if err != nil {
			return nil, errors.Annotatef(err, "parse index object %q", key)
		}
		out.Indexes = append(out.Indexes, x)
	}
	return out, nil
}

// Compose makes a configuration from the items of Store.Configs and returns it
// with its contents. Its version is the newest revision among the objects.
func Compose(parts []*leverdirectory.Config) (*leverdirectory.Config, *Contents, error) {
	all := make(objects, len(parts))
	var newest leverid.ConfigVersion
	for _, p := range parts {
		var o object
		if err := msgpack.Unmarshal(p.Attachment, &o); err != nil {
			return nil, nil, errors.Annotate(err, "decode a configuration object")
		}
		all[o.Key] = o
		newest = max(newest, p.Version)
	}
	c, err := all.contents()
	if err != nil {
		return nil, nil, err
	}
	return c.config(newest), c, nil
}

// checkChange returns an error if an object is not valid or is older than the
// last accepted one.
func checkChange(next, last object) error {
	old := last.Value
	if next.Revision < last.Revision {
		return errors.NotValidf("object revision %d (newest accepted is %d)", next.Revision, last.Revision)
	}
	if next.Key == leverstore.ConfigKey {
		return checkConfigChange(next.Value, old)
	}
	if !strings.HasPrefix(string(next.Key), string(leverstore.IndexPrefix)) {
		return errors.NotSupportedf("object key %q", next.Key)
	}
	x, err := leversnapshot.ParseIndex(next.Value)
	if err != nil {
		return err
	}
	before, err := leversnapshot.ParseIndex(old)
	if err == nil && before.Newest().Version > x.Newest().Version {
		return errors.NotValidf("index version %d (newest accepted is %d)", x.Newest().Version, before.Newest().Version)
	}
	return nil
}

func checkConfigChange(next, old []byte) error {
	stored, err := leverconfig.ParseStored(next)
	if err != nil {
		return err
	}
	if _, err := stored.Check(); err != nil {
		return err
	}
	before, err := leverconfig.ParseStored(old)
	if err == nil && before.Version > stored.Version {
		return errors.NotValidf("document version %d (newest accepted is %d)", stored.Version, before.Version)
	}
	return nil
}

// config makes a configuration with version v from the contents.
func (c *Contents) config(v leverid.ConfigVersion) *leverdirectory.Config {
	out := &leverdirectory.Config{Version: v, Services: make(map[leverid.ServiceID]leverdirectory.Service)}
	for _, x := range c.Indexes {
		settings := c.Document.Service(x.Service)
		for _, m := range x.Maps {
			out.Routes = append(out.Routes, route(x, m, &settings))
			for i, s := range m.Shards {
				out.Services[shardName(x, m, i)] = leverdirectory.Service{MaxConnections: minConnections(x, s)}
			}
		}
	}
	return out
}

// Prefix returns the path prefix of the route to one index version. The host of
// the route is the service's ID.
func Prefix(v leverid.IndexVersion) string { return leverupstream.Path + "/" + v.String() + "/" }

func route(x *leversnapshot.Index, m leversnapshot.Map, s *leverconfig.Service) leverdirectory.Route {
	r := leverdirectory.Route{
		Name: string(x.Service), Host: string(x.Service), Prefix: Prefix(m.Version), Room: x.Service, Floors: s.Floors(), Repeatable: true,
		Whole: s.OnShort == leverconfig.OnShortWait, LeastCoverage: s.LeastCoverage, MaxAttempts: int(s.MaxAttempts),
		Timeout: milliseconds(s.MaxDeadlineMS), Objective: milliseconds(s.AnswerAfterMS),
	}
	for i := range m.Shards {
		r.Shards = append(r.Shards, shardName(x, m, i))
	}
	return r
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func shardName(x *leversnapshot.Index, m leversnapshot.Map, i int) leverid.ServiceID {
	return leverupstream.Shard{Service: x.Service, Version: m.Version, ID: leverid.ShardID(i)}.Name()
}

// minConnections returns the lowest connection limit among a shard's replicas.
func minConnections(x *leversnapshot.Index, s leversnapshot.Shard) int {
	least := 0
	for _, id := range s.Replicas {
		if u, ok := x.Upstream(id); ok && (least == 0 || u.Connections < least) {
			least = u.Connections
		}
	}
	return least
}

// shardReplica is the directory's entry for one replica of a shard in one index
// version.
type shardReplica struct {
	// name is the name of its feed item.
	name     string
	upstream leverdirectory.Upstream
}

func shardReplicas(x *leversnapshot.Index) []shardReplica {
	var out []shardReplica
	for _, m := range x.Maps {
		for i, s := range m.Shards {
			for _, id := range s.Replicas {
				u, ok := x.Upstream(id)
				if !ok {
					continue
				}
				name := shardName(x, m, i)
				out = append(out, shardReplica{string(name) + "/" + string(id), leverdirectory.Upstream{
					ID: id, Service: name, Address: u.Address, Domain: u.Domain, Slots: u.Slots,
				}})
			}
		}
	}
	return out
}
