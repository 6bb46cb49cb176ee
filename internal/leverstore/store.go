// Package leverstore is the client of the platform's object API and of its
// list of VMs. docs/PLATFORM.md states the protocol.
package leverstore

import (
	"context"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"

	"github.com/juju/errors"
)

// Revision numbers the store's changes. An object's revision is that of its
// last change.
type Revision uint64

// Object is one stored value.
type Object struct {
	Key      leverid.ObjectKey
	Revision Revision
	Value    []byte
	// Deleted marks an object that a watch found gone.
	Deleted bool
}

// Changes is the answer of a watch.
type Changes struct {
	// Revision is what the next watch starts from.
	Revision Revision
	Objects  []Object
}

// VMList is the platform's list of VMs.
type VMList struct {
	Revision Revision
	VMs      []levermsg.VM
}

const (
	// ErrConflict means that the object has another revision than the update
	// named. The update had no effect.
	ErrConflict = errors.ConstError("object has another revision")
	// ErrUnknown means that the answer to an update was lost: the update may
	// or may not have taken effect.
	ErrUnknown = errors.ConstError("update may have taken effect")
	// ErrUnavailable means that the store did not take the call: it had no
	// effect.
	ErrUnavailable = errors.ConstError("store unavailable")
)

// Store is the platform's object API. Implementations are safe for concurrent
// use.
type Store interface {
	// Get returns an object. The error is NotFound, ErrUnavailable or of the
	// context.
	Get(ctx context.Context, key leverid.ObjectKey) (Object, error)
	// Put writes an object if its revision is match; a match of 0 creates it.
	// The error is ErrConflict, ErrUnknown or ErrUnavailable.
	Put(ctx context.Context, key leverid.ObjectKey, value []byte, match Revision) (Revision, error)
	// List returns all objects whose key begins with prefix.
	List(ctx context.Context, prefix leverid.ObjectKey) (Changes, error)
	// Watch waits up to wait for a change after since below prefix. It
	// returns at once if there already was one.
	Watch(ctx context.Context, prefix leverid.ObjectKey, since Revision, wait time.Duration) (Changes, error)
	// Delete removes an object if its revision is match.
	Delete(ctx context.Context, key leverid.ObjectKey, match Revision) error
	// VMs waits up to wait for a list newer than since and returns the list.
	VMs(ctx context.Context, since Revision, wait time.Duration) (VMList, error)
}

// The keys and prefixes of the objects that the query tier reads or writes.
const (
	// ServingPrefix is that of all that VMs work by.
	ServingPrefix leverid.ObjectKey = "serving/"
	ConfigKey     leverid.ObjectKey = ServingPrefix + "config"
	IndexPrefix   leverid.ObjectKey = ServingPrefix + "index/"
	ClaimPrefix   leverid.ObjectKey = "claim/"
)
