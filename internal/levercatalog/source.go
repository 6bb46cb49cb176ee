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

// Store is the platform's store as a node follows it. Its fields must be set
// before its first use.
type Store struct {
	Objects leverstore.Store
	Log     leverlog.Logger
	// Present returns the contents in force.
	Present func() *Contents
}

// Register does nothing: the platform itself lists the VMs.
func (*Store) Register(context.Context, levermsg.VM) error { return nil }

// Deregister does nothing.
func (*Store) Deregister(context.Context, leverid.VMID) error { return nil }

// Configs returns the source of the objects that Compose makes a configuration of.
func (s *Store) Configs() leverfeed.Source[*leverdirectory.Config] { return &configs{store: s} }

// Upstreams returns the source of the upstreams, with an item for each replica
// of each shard of each version.
func (s *Store) Upstreams() leverfeed.Source[leverdirectory.Upstream] { return &upstreams{store: s} }

// VMs returns the source of the platform's list of VMs.
func (s *Store) VMs() leverfeed.Source[levermsg.VM] { return &vms{store: s} }

// configs reads the objects, an item each: a change is told to other VMs by its
// object alone, and each VM makes the configuration of all of them (Compose).
type configs struct{ store *Store }

// List reads all objects.
func (c *configs) List(ctx context.Context) (leverfeed.Batch[*leverdirectory.Config], error) {
	found, err := c.store.Objects.List(ctx, leverstore.ServingPrefix)
	if err != nil {
		return leverfeed.Batch[*leverdirectory.Config]{}, err
	}
	out := c.batch(&found)
	// The document stays in force also if it is deleted.
	last, ok := c.store.Present().objects[leverstore.ConfigKey]
	if ok && !slices.ContainsFunc(found.Objects, func(f leverstore.Object) bool { return f.Key == last.Key }) {
		out.Items = append(out.Items, item(last))
	}
	return out, nil
}

// Watch waits for a change of an object.
func (c *configs) Watch(ctx context.Context, since leverfeed.Revision, wait time.Duration) (leverfeed.Batch[*leverdirectory.Config], error) {
	found, err := c.store.Objects.Watch(ctx, leverstore.ServingPrefix, leverstore.Revision(since), wait)
	if err != nil {
		return leverfeed.Batch[*leverdirectory.Config]{}, err
	}
	return c.batch(&found), nil
}

// batch turns what was found into items. An object that is older than the one in
// force, as an old read gives it, or that is not valid, takes nothing back.
func (c *configs) batch(found *leverstore.Changes) leverfeed.Batch[*leverdirectory.Config] {
	out := leverfeed.Batch[*leverdirectory.Config]{Revision: leverfeed.Revision(found.Revision)}
	present := c.store.Present().objects
	for _, f := range found.Objects {
		o, old := object{Key: f.Key, Revision: f.Revision, Value: f.Value}, present[f.Key]
		switch {
		case f.Deleted && f.Key == leverstore.ConfigKey:
			c.store.Log.Warn("the document was deleted; the last one stays in force")
		case f.Deleted:
			out.Items = append(out.Items, leverfeed.Item[*leverdirectory.Config]{Name: string(f.Key), Gone: true})
		default:
			if err := check(o, old); err != nil {
				c.store.Log.Error("an object can't be taken in; the last one stays in force", "key", f.Key, "revision", f.Revision, "err", err)
				o = old
			}
			if o.Key != "" {
				out.Items = append(out.Items, item(o))
			}
		}
	}
	return out
}

func item(o object) leverfeed.Item[*leverdirectory.Config] {
	// Texts and numbers: encoding can't fail.
	b, _ := msgpack.Marshal(&o)
	return leverfeed.Item[*leverdirectory.Config]{
		Name: string(o.Key), Value: &leverdirectory.Config{Version: leverid.ConfigVersion(o.Revision), Attachment: b},
	}
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
