package levercatalog

import (
	"context"
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/leverstore"

	"github.com/vmihailenco/msgpack/v5"
)

// Store gives a node the sources that it follows in the platform's store. Its
// fields must be set before its first use.
type Store struct {
	Objects leverstore.Store
	Log     leverlog.Logger
	// Current returns the contents in force.
	Current func() *Contents
}

// Register does nothing because the platform itself maintains the list of VMs.
func (*Store) Register(context.Context, levermsg.VM) error { return nil }

// Deregister does nothing, as Register does.
func (*Store) Deregister(context.Context, leverid.VMID) error { return nil }

// Configs returns the source of the objects from which Compose makes a
// configuration.
func (s *Store) Configs() leverfeed.Source[*leverdirectory.Config] { return &configFeed{store: s} }

// Upstreams returns the source of the upstreams. It has an item for each replica
// of each shard in each index version.
func (s *Store) Upstreams() leverfeed.Source[leverdirectory.Upstream] { return &upstreamFeed{store: s} }

// VMs returns the source of the platform's list of VMs.
func (s *Store) VMs() leverfeed.Source[levermsg.VM] { return &vmFeed{store: s} }

// configFeed lists each object as an item of its own. A change is then sent to
// other VMs as a single object, and each VM composes the configuration from all
// of them with Compose.
type configFeed struct{ store *Store }

// List returns all objects.
func (c *configFeed) List(ctx context.Context) (leverfeed.Batch[*leverdirectory.Config], error) {
	found, err := c.store.Objects.List(ctx, leverstore.ServingPrefix)
	if err != nil {
		return leverfeed.Batch[*leverdirectory.Config]{}, err
	}
	out := c.batch(&found)
	// The document stays in force even if it is deleted.
	last, ok := c.store.Current().objects[leverstore.ConfigKey]
	if ok && !slices.ContainsFunc(found.Objects, func(f leverstore.Object) bool { return f.Key == last.Key }) {
		out.Items = append(out.Items, newItem(last))
	}
	return out, nil
}

// Watch waits for a change of an object.
func (c *configFeed) Watch(ctx context.Context, since leverfeed.Revision, wait time.Duration) (leverfeed.Batch[*leverdirectory.Config], error) {
	found, err := c.store.Objects.Watch(ctx, leverstore.ServingPrefix, leverstore.Revision(since), wait)
	if err != nil {
		return leverfeed.Batch[*leverdirectory.Config]{}, err
	}
	return c.batch(&found), nil
}

// batch turns changed objects into items. An object that is not valid, or is
// older than the one in force because the store answered a read from an old
// state, is replaced by the one in force.
func (c *configFeed) batch(found *leverstore.Changes) leverfeed.Batch[*leverdirectory.Config] {
	out := leverfeed.Batch[*leverdirectory.Config]{Revision: leverfeed.Revision(found.Revision)}
	current := c.store.Current().objects
	for _, f := range found.Objects {
		o, old := object{Key: f.Key, Revision: f.Revision, Value: f.Value}, current[f.Key]
		switch {
		case f.Deleted && f.Key == leverstore.ConfigKey:
			c.store.Log.Warn("the configuration document was deleted; keeping the last version in force")
		case f.Deleted:
			out.Items = append(out.Items, leverfeed.Item[*leverdirectory.Config]{Name: string(f.Key), Gone: true})
		default:
			if err := checkChange(o, old); err != nil {
				c.store.Log.Error("rejected a configuration object; keeping the last accepted one", "key", f.Key, "revision", f.Revision, "err", err)
				o = old
			}
			if o.Key != "" {
				out.Items = append(out.Items, newItem(o))
			}
		}
	}
	return out
}

func newItem(o object) leverfeed.Item[*leverdirectory.Config] {
	// The fields are only strings, numbers and bytes, so encoding can't fail.
	b, _ := msgpack.Marshal(&o)
	return leverfeed.Item[*leverdirectory.Config]{
		Name: string(o.Key), Value: &leverdirectory.Config{Version: leverid.ConfigVersion(o.Revision), Attachment: b},
	}
}

// upstreamFeed lists the replicas that the indexes name. It is not safe for
// concurrent use: one follower uses it at a time.
type upstreamFeed struct {
	store *Store
	// names are the names of the items made from each index. List creates the
	// map, so it must be called before Watch.
	names map[leverid.ObjectKey][]string
}

// List returns the replicas of all indexes.
func (u *upstreamFeed) List(ctx context.Context) (leverfeed.Batch[leverdirectory.Upstream], error) {
	found, err := u.store.Objects.List(ctx, leverstore.IndexPrefix)
	if err != nil {
		return leverfeed.Batch[leverdirectory.Upstream]{}, err
	}
	u.names = make(map[leverid.ObjectKey][]string)
	return u.batch(&found), nil
}

// Watch waits for a change of an index and returns the changed replicas.
func (u *upstreamFeed) Watch(ctx context.Context, since leverfeed.Revision, wait time.Duration) (leverfeed.Batch[leverdirectory.Upstream], error) {
	found, err := u.store.Objects.Watch(ctx, leverstore.IndexPrefix, leverstore.Revision(since), wait)
	if err != nil {
		return leverfeed.Batch[leverdirectory.Upstream]{}, err
	}
	return u.batch(&found), nil
}

func (u *upstreamFeed) batch(found *leverstore.Changes) leverfeed.Batch[leverdirectory.Upstream] {
	out := leverfeed.Batch[leverdirectory.Upstream]{Revision: leverfeed.Revision(found.Revision)}
	for _, o := range found.Objects {
		var list []shardReplica
		if !o.Deleted {
			list = u.replicasOf(o)
		}
		removed := make(map[string]bool)
		for _, name := range u.names[o.Key] {
			removed[name] = true
		}
		names := make([]string, 0, len(list))
		for _, e := range list {
			delete(removed, e.name)
			names = append(names, e.name)
			out.Items = append(out.Items, leverfeed.Item[leverdirectory.Upstream]{Name: e.name, Value: e.upstream})
		}
		for name := range removed {
			out.Items = append(out.Items, leverfeed.Item[leverdirectory.Upstream]{Name: name, Gone: true})
		}
		u.names[o.Key] = names
	}
	return out
}

// replicasOf returns the replicas of an index or, if the index is not valid, those
// of its last state in force.
func (u *upstreamFeed) replicasOf(o leverstore.Object) []shardReplica {
	x, err := leversnapshot.ParseIndex(o.Value)
	if err == nil {
		return shardReplicas(x)
	}
	var list []shardReplica
	if x, lastErr := leversnapshot.ParseIndex(u.store.Current().objects[o.Key].Value); lastErr == nil {
		list = shardReplicas(x)
	}
	u.store.Log.Error("index is not valid; keeping its last upstreams", "key", o.Key, "upstreams", len(list), "err", err)
	return list
}

// vmFeed reads the platform's list of VMs. It is not safe for concurrent use:
// one follower uses it at a time.
type vmFeed struct {
	store  *Store
	listed map[string]bool
}

// List returns the list.
func (v *vmFeed) List(ctx context.Context) (leverfeed.Batch[levermsg.VM], error) {
	return v.read(ctx, 0, 0)
}

// Watch waits for a newer list.
func (v *vmFeed) Watch(ctx context.Context, since leverfeed.Revision, wait time.Duration) (leverfeed.Batch[levermsg.VM], error) {
	return v.read(ctx, leverstore.Revision(since), wait)
}

func (v *vmFeed) read(ctx context.Context, since leverstore.Revision, wait time.Duration) (leverfeed.Batch[levermsg.VM], error) {
	list, err := v.store.Objects.VMs(ctx, since, wait)
	if err != nil {
		return leverfeed.Batch[levermsg.VM]{}, err
	}
	out := leverfeed.Batch[levermsg.VM]{Revision: leverfeed.Revision(list.Revision)}
	removed := v.listed
	v.listed = make(map[string]bool, len(list.VMs))
	for _, vm := range list.VMs {
		v.listed[string(vm.ID)] = true
		delete(removed, string(vm.ID))
		out.Items = append(out.Items, leverfeed.Item[levermsg.VM]{Name: string(vm.ID), Value: vm})
	}
	for name := range removed {
		out.Items = append(out.Items, leverfeed.Item[levermsg.VM]{Name: name, Gone: true})
	}
	return out, nil
}
