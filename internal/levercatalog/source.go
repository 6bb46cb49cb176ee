package levercatalog

import (
	"context"
	"maps"
	"time"

	"arbutuslever.dev/lever/internal/leverdirectory"
	"arbutuslever.dev/lever/internal/leverfeed"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverlog"
	"arbutuslever.dev/lever/internal/levermsg"
	"arbutuslever.dev/lever/internal/leversnapshot"
	"arbutuslever.dev/lever/internal/leverstore"
)

// Store is the platform's store as a node follows it. Its fields must be set
// before its first use.
type Store struct {
	Objects leverstore.Store
	Log     leverlog.Logger
	// Present returns the configuration in force, or nil.
	Present func() *leverdirectory.Config
}

// Register does nothing: the platform itself lists the VMs.
func (*Store) Register(context.Context, levermsg.VM) error { return nil }

// Deregister does nothing.
func (*Store) Deregister(context.Context, leverid.VMID) error { return nil }

// Configs returns the source of configurations. It has one item.
func (s *Store) Configs() leverfeed.Source[*leverdirectory.Config] { return &configs{store: s} }

// Upstreams returns the source of the upstreams, with an item for each replica
// of each shard of each version.
func (s *Store) Upstreams() leverfeed.Source[leverdirectory.Upstream] { return &upstreams{store: s} }

// VMs returns the source of the platform's list of VMs.
func (s *Store) VMs() leverfeed.Source[levermsg.VM] { return &vms{store: s} }

// configs makes configurations of the objects. It starts from the one in force,
// so that an old read of the store takes nothing back. It is used by one
// follower at a time.
type configs struct{ store *Store }

// configName is the name of the one item.
const configName = "serving"

// List reads all objects.
func (c *configs) List(ctx context.Context) (leverfeed.Batch[*leverdirectory.Config], error) {
	found, err := c.store.Objects.List(ctx, leverstore.ServingPrefix)
	if err != nil {
		return leverfeed.Batch[*leverdirectory.Config]{}, err
	}
	return c.batch(&found, true)
}

// Watch waits for a change of an object.
func (c *configs) Watch(ctx context.Context, since leverfeed.Revision, wait time.Duration) (leverfeed.Batch[*leverdirectory.Config], error) {
	found, err := c.store.Objects.Watch(ctx, leverstore.ServingPrefix, leverstore.Revision(since), wait)
	if err != nil {
		return leverfeed.Batch[*leverdirectory.Config]{}, err
	}
	return c.batch(&found, false)
}

func (c *configs) batch(found *leverstore.Changes, all bool) (leverfeed.Batch[*leverdirectory.Config], error) {
	out := leverfeed.Batch[*leverdirectory.Config]{Revision: leverfeed.Revision(found.Revision)}
	present := c.store.Present()
	old := objects{}
	if present != nil {
		var err error
		if old, err = attached(present); err != nil {
			return out, err
		}
	}
	next := c.apply(old, found, all)
	config := present
	if present == nil || !maps.EqualFunc(old, next, func(a, b object) bool { return a.Revision == b.Revision }) {
		var err error
		if config, err = next.config(leverid.ConfigVersion(found.Revision)); err != nil {
			return out, err
		}
	}
	out.Items = append(out.Items, leverfeed.Item[*leverdirectory.Config]{Name: configName, Value: config})
	return out, nil
}

// apply returns the objects after what was found; all says that these are all
// there are.
func (c *configs) apply(old objects, found *leverstore.Changes, all bool) objects {
	next := maps.Clone(old)
	there := make(map[leverid.ObjectKey]bool)
	for _, f := range found.Objects {
		there[f.Key] = !f.Deleted
		o := object{Key: f.Key, Revision: f.Revision, Value: f.Value}
		if f.Deleted || o.Revision <= old[f.Key].Revision {
			continue
		}
		if err := check(o, old[f.Key].Value); err != nil {
			c.store.Log.Error("an object can't be taken in; the last one stays in force", "key", f.Key, "revision", f.Revision, "err", err)
			continue
		}
		next[f.Key] = o
	}
	for key := range old {
		present, said := there[key]
		if key != leverstore.ConfigKey && !present && (all || said) {
			delete(next, key)
		}
	}
	return next
}

// upstreams lists the replicas that the indexes name. It is used by one
// follower at a time.
type upstreams struct {
	store *Store
	// names are the items that came of each object.
	names map[leverid.ObjectKey][]string
}

// List reads all indexes.
func (u *upstreams) List(ctx context.Context) (leverfeed.Batch[leverdirectory.Upstream], error) {
	found, err := u.store.Objects.List(ctx, leverstore.IndexPrefix)
	if err != nil {
		return leverfeed.Batch[leverdirectory.Upstream]{}, err
	}
	u.names = make(map[leverid.ObjectKey][]string)
	return u.batch(&found), nil
}

// Watch waits for a change of an index.
func (u *upstreams) Watch(ctx context.Context, since leverfeed.Revision, wait time.Duration) (leverfeed.Batch[leverdirectory.Upstream], error) {
	found, err := u.store.Objects.Watch(ctx, leverstore.IndexPrefix, leverstore.Revision(since), wait)
	if err != nil {
		return leverfeed.Batch[leverdirectory.Upstream]{}, err
	}
	return u.batch(&found), nil
}

func (u *upstreams) batch(found *leverstore.Changes) leverfeed.Batch[leverdirectory.Upstream] {
	out := leverfeed.Batch[leverdirectory.Upstream]{Revision: leverfeed.Revision(found.Revision)}
	for _, o := range found.Objects {
		var list []entry
		if !o.Deleted {
			x, err := leversnapshot.ParseIndex(o.Value)
			if err != nil {
				u.store.Log.Error("an index can't be read; its last upstreams stay", "key", o.Key, "err", err)
				continue
			}
			list = entries(x)
		}
		gone := make(map[string]bool)
		for _, name := range u.names[o.Key] {
			gone[name] = true
		}
		names := make([]string, 0, len(list))
		for _, e := range list {
			delete(gone, e.name)
			names = append(names, e.name)
			out.Items = append(out.Items, leverfeed.Item[leverdirectory.Upstream]{Name: e.name, Value: e.upstream})
		}
		for name := range gone {
			out.Items = append(out.Items, leverfeed.Item[leverdirectory.Upstream]{Name: name, Gone: true})
		}
		u.names[o.Key] = names
	}
	return out
}

// vms reads the platform's list of VMs. It is used by one follower at a time.
type vms struct {
	store  *Store
	listed map[string]bool
}

// List reads the list.
func (v *vms) List(ctx context.Context) (leverfeed.Batch[levermsg.VM], error) {
	return v.read(ctx, 0, 0)
}

// Watch waits for a newer list.
func (v *vms) Watch(ctx context.Context, since leverfeed.Revision, wait time.Duration) (leverfeed.Batch[levermsg.VM], error) {
	return v.read(ctx, leverstore.Revision(since), wait)
}

func (v *vms) read(ctx context.Context, since leverstore.Revision, wait time.Duration) (leverfeed.Batch[levermsg.VM], error) {
	list, err := v.store.Objects.VMs(ctx, since, wait)
	if err != nil {
		return leverfeed.Batch[levermsg.VM]{}, err
	}
	out := leverfeed.Batch[levermsg.VM]{Revision: leverfeed.Revision(list.Revision)}
	gone := v.listed
	v.listed = make(map[string]bool, len(list.VMs))
	for _, vm := range list.VMs {
		v.listed[string(vm.ID)] = true
		delete(gone, string(vm.ID))
		out.Items = append(out.Items, leverfeed.Item[levermsg.VM]{Name: string(vm.ID), Value: vm})
	}
	for name := range gone {
		out.Items = append(out.Items, leverfeed.Item[levermsg.VM]{Name: name, Gone: true})
	}
	return out, nil
}
