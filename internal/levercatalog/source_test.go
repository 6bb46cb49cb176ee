package levercatalog_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"arbutuslever.dev/lever/internal/levercatalog"
	"arbutuslever.dev/lever/internal/leverconfig"
	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverplatform"
	"arbutuslever.dev/lever/internal/leverstore"

	"github.com/matryer/is"
)

const indexKey = leverstore.IndexPrefix + "s"

// index returns an index object of one version with the given number of shards,
// each on the same two upstreams.
func index(version, shards int) string {
	type shard struct {
		Replicas []string `json:"replicas"`
	}
	list := make([]shard, shards)
	for i := range list {
		list[i].Replicas = []string{"a", "b"}
	}
	// The values are only strings and numbers, so encoding can't fail.
	b, _ := json.Marshal(map[string]any{
		"service": "s",
		"upstreams": []map[string]any{
			{"id": "a", "address": "a:1", "slots": 2, "connections": 9}, {"id": "b", "address": "b:1", "slots": 2, "connections": 5},
		},
		"maps": []map[string]any{{"version": version, "shards": list}},
	})
	return string(b)
}

// follower reads a store and composes the configuration as a node does.
type follower struct {
	is      *is.I
	memory  *leverplatform.Memory
	current *levercatalog.Contents
	config  *leverdirectory.Config
	source  leverfeed.Source[*leverdirectory.Config]
}

func newFollower(t *testing.T) *follower {
	f := &follower{is: is.New(t), memory: &leverplatform.Memory{}, current: levercatalog.Empty()}
	f.source = f.store().Configs()
	return f
}

func (f *follower) store() *levercatalog.Store {
	return &levercatalog.Store{Objects: f.memory, Current: func() *levercatalog.Contents { return f.current }}
}

func (f *follower) put(key leverid.ObjectKey, value string) {
	o, err := f.memory.Get(context.Background(), key)
	if err != nil {
		o.Revision = 0
	}
	_, err = f.memory.Put(context.Background(), key, []byte(value), o.Revision)
	f.is.NoErr(err)
}

// read lists the store and puts the composed configuration in force.
func (f *follower) read() *levercatalog.Contents {
	b, err := f.source.List(context.Background())
	f.is.NoErr(err)
	var parts []*leverdirectory.Config
	for _, it := range b.Items {
		f.is.True(!it.Gone)
		parts = append(parts, it.Value)
	}
	f.config, f.current, err = levercatalog.Compose(parts)
	f.is.NoErr(err)
	return f.current
}

func TestRoutes(t *testing.T) {
	f := newFollower(t)
	f.put(indexKey, index(7, 3))
	f.put(leverstore.ConfigKey, `{"version": 2, "document": {"services": {"s": {"least-coverage": 0.75, "on-short": "answer"}}}}`)
	in := f.read()
	f.is.Equal(in.Stored.Version, leverid.ConfigVersion(2))
	f.is.Equal(len(f.config.Routes), 1)
	r := f.config.Routes[0]
	f.is.Equal(r.Shards, []leverid.ServiceID{"s/7/0", "s/7/1", "s/7/2"})
	f.is.Equal(r.LeastCoverage, 0.75)
	f.is.True(!r.Whole)
	f.is.Equal(f.config.Services["s/7/0"].MaxConnections, 5) // the lowest limit among the replicas
}

// TestNothingGoesBack checks that old, invalid or deleted objects, and reads of
// an old state of the store, neither revert nor replace what is in force.
func TestNothingGoesBack(t *testing.T) {
	const second = `{"version": 2, "document": {}}`
	cases := map[string]func(f *follower){
		"document of an older version": func(f *follower) { f.put(leverstore.ConfigKey, `{"version": 1, "document": {}}`) },
		"document that is not valid":   func(f *follower) { f.put(leverstore.ConfigKey, `{"version": 3, "document": {"defaults": 1}}`) },
		"document that is not JSON":    func(f *follower) { f.put(leverstore.ConfigKey, `{"ver`) },
		"index of an older version":    func(f *follower) { f.put(indexKey, index(6, 1)) },
		"index that is not valid":      func(f *follower) { f.put(indexKey, `{"service": ""}`) },
		"another object":               func(f *follower) { f.put(leverstore.ServingPrefix+"else", `{}`) },
		"document that is deleted": func(f *follower) {
			o, err := f.memory.Get(context.Background(), leverstore.ConfigKey)
			f.is.NoErr(err)
			f.is.NoErr(f.memory.Delete(context.Background(), leverstore.ConfigKey, o.Revision))
		},
		"old reads": func(f *follower) { f.memory.SetFaults(leverplatform.Faults{StaleReads: 5}) },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFollower(t)
			f.put(indexKey, index(6, 2))
			f.put(indexKey, index(7, 2))
			f.put(leverstore.ConfigKey, `{"version": 1, "document": {}}`)
			f.put(leverstore.ConfigKey, second)
			f.read()
			version := f.config.Version
			change(f)
			in := f.read()
			f.is.Equal(in.Stored.Version, leverid.ConfigVersion(2))
			f.is.Equal(len(in.Indexes), 1)
			f.is.Equal(in.Indexes[0].Newest().Version, leverid.IndexVersion(7))
			f.is.Equal(f.config.Version, version) // no newer configuration is in force
		})
	}
}

// TestDeletedIndexRemovesService checks that a list notices the deletion of an
// index that no watch reported.
func TestDeletedIndexRemovesService(t *testing.T) {
	f := newFollower(t)
	f.put(indexKey, index(7, 2))
	f.is.Equal(len(f.read().Indexes), 1)
	o, err := f.memory.Get(context.Background(), indexKey)
	f.is.NoErr(err)
	f.is.NoErr(f.memory.Delete(context.Background(), indexKey, o.Revision))
	f.is.Equal(len(f.read().Indexes), 0)
}

// TestUpstreamsFollowIndex checks that a repartitioned index removes the
// upstream entries of the old version and adds those of the new one.
func TestUpstreamsFollowIndex(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFollower(t)
		f.put(indexKey, index(7, 2))
		source := f.store().Upstreams()
		b, err := source.List(context.Background())
		f.is.NoErr(err)
		f.is.Equal(len(b.Items), 4) // two shards on two upstreams
		f.put(indexKey, index(8, 3))
		b, err = source.Watch(context.Background(), b.Revision, time.Second)
		f.is.NoErr(err)
		added, removed := 0, 0
		for _, it := range b.Items {
			if it.Gone {
				removed++
			} else {
				added++
			}
		}
		f.is.Equal(added, 6)
		f.is.Equal(removed, 4)
	})
}

// TestInvalidIndexKeepsUpstreams reads an index that has become invalid. Its last
// upstreams must stay, also for a follower that has not seen it valid.
func TestInvalidIndexKeepsUpstreams(t *testing.T) {
	for name, invalid := range map[string]string{"not JSON": "{", "no shards": "{}"} {
		t.Run(name, func(t *testing.T) {
			f := newFollower(t)
			f.put(indexKey, index(7, 2))
			f.read()
			f.put(indexKey, invalid)
			for range 2 {
				b, err := f.store().Upstreams().List(context.Background())
				f.is.NoErr(err)
				f.is.Equal(len(b.Items), 4) // two shards on two upstreams
			}
		})
	}
}

// TestEmptyIsValid checks that the default contents pass validation.
func TestEmptyIsValid(t *testing.T) {
	is := is.New(t)
	in := levercatalog.Empty()
	is.Equal(in.Document.Default.OnShort, leverconfig.OnShortWait)
	is.Equal(len(in.Indexes), 0)
}
