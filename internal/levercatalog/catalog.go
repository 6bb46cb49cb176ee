// Package levercatalog turns the product's own objects in the platform's store,
// the configuration's document and the services' indexes, into the routes and
// upstreams that a node works by.
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

// object is one object of the store as it goes from VM to VM.
type object struct {
	Key      leverid.ObjectKey   `msgpack:"k"`
	Revision leverstore.Revision `msgpack:"r"`
	Value    []byte              `msgpack:"v"`
}

// objects are what a configuration is made of.
type objects map[leverid.ObjectKey]object

// Contents is what a configuration was made of, read and checked.
type Contents struct {
	Stored   *leverconfig.Stored
	Document *leverconfig.Document
	Indexes  []*leversnapshot.Index

	objects objects
}

// Empty returns the contents before anything is known: all defaults and no
// service.
func Empty() *Contents {
	doc, err := (&leverconfig.Stored{}).Check()
	if err != nil {
		panic("levercatalog: the default configuration is not valid: " + err.Error())
	}
	return &Contents{Stored: &leverconfig.Stored{}, Document: doc}
}

// contents reads the objects, each of which was checked before it was taken in.
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
			return nil, errors.Annotatef(err, "object %q", key)
		}
		out.Indexes = append(out.Indexes, x)
	}
	return out, nil
}

// Compose makes the configuration of the objects that Store.Configs gave, and
// returns what it was made of. Its version is the newest revision of an object.
func Compose(parts []*leverdirectory.Config) (*leverdirectory.Config, *Contents, error) {
	all := make(objects, len(parts))
	var newest leverid.ConfigVersion
	for _, p := range parts {
		var o object
		if err := msgpack.Unmarshal(p.Attachment, &o); err != nil {
			return nil, nil, errors.Annotate(err, "object of a configuration")
		}
		all[o.Key] = o
		newest = max(newest, p.Version)
	}
	in, err := all.contents()
	if err != nil {
		return nil, nil, err
	}
	return in.config(newest), in, nil
}

// check reports why an object can't replace the one before it.
func check(next, last object) error {
	old := last.Value
	if next.Revision < last.Revision {
		return errors.NotValidf("revision %d after %d", next.Revision, last.Revision)
	}
	if next.Key == leverstore.ConfigKey {
		return checkStored(next.Value, old)
	}
	if !strings.HasPrefix(string(next.Key), string(leverstore.IndexPrefix)) {
		return errors.NotSupportedf("object %q", next.Key)
	}
	x, err := leversnapshot.ParseIndex(next.Value)
	if err != nil {
		return err
	}
	before, err := leversnapshot.ParseIndex(old)
	if err == nil && before.Newest().Version > x.Newest().Version {
		return errors.NotValidf("index version %d after %d", x.Newest().Version, before.Newest().Version)
	}
	return nil
}

func checkStored(next, old []byte) error {
	stored, err := leverconfig.ParseStored(next)
	if err != nil {
		return err
	}
	if _, err := stored.Check(); err != nil {
		return err
	}
	before, err := leverconfig.ParseStored(old)
	if err == nil && before.Version > stored.Version {
		return errors.NotValidf("version %d after %d", stored.Version, before.Version)
	}
	return nil
}

// config makes the configuration of a version.
func (in *Contents) config(v leverid.ConfigVersion) *leverdirectory.Config {
	c := &leverdirectory.Config{Version: v, Services: make(map[leverid.ServiceID]leverdirectory.Service)}
	for _, x := range in.Indexes {
		set := in.Document.Service(x.Service)
		for _, m := range x.Maps {
			c.Routes = append(c.Routes, route(x, m, &set))
			for i, s := range m.Shards {
				c.Services[shard(x, m, i)] = leverdirectory.Service{MaxConnections: connections(x, s)}
			}
		}
	}
	return c
}

// Prefix is what the paths of the queries of one index version begin with; their
// host is the service.
func Prefix(v leverid.IndexVersion) string { return leverupstream.Path + "/" + v.String() + "/" }

func route(x *leversnapshot.Index, m leversnapshot.Map, s *leverconfig.Service) leverdirectory.Route {
	r := leverdirectory.Route{
		Name: string(x.Service), Host: string(x.Service), Prefix: Prefix(m.Version), Room: x.Service, Floors: s.Floors(), Repeatable: true,
		Whole: s.OnShort == leverconfig.Wait, LeastCoverage: s.LeastCoverage, MaxAttempts: int(s.MaxAttempts),
		Timeout: millis(s.MaxDeadlineMS), Objective: millis(s.AnswerAfterMS),
	}
	for i := range m.Shards {
		r.Shards = append(r.Shards, shard(x, m, i))
	}
	return r
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func shard(x *leversnapshot.Index, m leversnapshot.Map, i int) leverid.ServiceID {
	return leverupstream.Shard{Service: x.Service, Version: m.Version, ID: leverid.ShardID(i)}.Name()
}

// connections returns the least number of connections that a replica accepts.
func connections(x *leversnapshot.Index, s leversnapshot.Shard) int {
	least := 0
	for _, id := range s.Replicas {
		if u, ok := x.Upstream(id); ok && (least == 0 || u.Connections < least) {
			least = u.Connections
		}
	}
	return least
}

// entry is one replica of one shard of one version, as the directory lists it.
type entry struct {
	name     string
	upstream leverdirectory.Upstream
}

func entries(x *leversnapshot.Index) []entry {
	var out []entry
	for _, m := range x.Maps {
		for i, s := range m.Shards {
			for _, id := range s.Replicas {
				u, ok := x.Upstream(id)
				if !ok {
					continue
				}
				name := shard(x, m, i)
				out = append(out, entry{string(name) + "/" + string(id), leverdirectory.Upstream{
					ID: id, Service: name, Address: u.Address, Domain: u.Domain, Slots: u.Slots,
				}})
			}
		}
	}
	return out
}
