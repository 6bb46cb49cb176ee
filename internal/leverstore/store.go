// Package leverstore provides access to the platform's object store and list of
// VMs. docs/PLATFORM.md specifies the protocol.
package leverstore

import (
	"context"
	"time"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/levermsg"

	"github.com/juju/errors"
)

// Revision numbers the changes of the store in order. An object's revision is
// that of its last change.
type Revision uint64

// Object is one stored object.
type Object struct {
	Key      leverid.ObjectKey
	Revision Revision
	Value    []byte
	// Deleted marks an object that a watch reports as deleted.
	Deleted bool
}

// Changes is the result of a list or a watch.
type Changes struct {
	// Revision is the revision to start the next watch from.
	Revision Revision
	Objects  []Object
}

// VMList is the platform's list of VMs at one revision.
type VMList struct {
	Revision Revision
	VMs      []levermsg.VM
}

const (
	// ErrConflict means that the object's revision differs from the one that
	// the update requires. The update had no effect.
	ErrConflict = errors.ConstError("object revision does not match")
	// ErrOutcomeUnknown means that no usable response to an update was received.
	// The update may or may not have taken effect.
	ErrOutcomeUnknown = errors.ConstError("update may have taken effect")
	// ErrUnavailable means that the store did not accept the call, which had
	// no effect.
	ErrUnavailable = errors.ConstError("store unavailable")
)

// Store is the platform's object API. Implementations must be safe for
// concurrent use.
type Store interface {
	// Get returns an object. The error is NotFound if there is no such object.
	Get(ctx context.Context, key leverid.ObjectKey) (Object, error)
	// Put writes an object if its revision is match and returns the new
	// revision. A match of 0 creates the object. The error is ErrConflict,
	// ErrOutcomeUnknown or ErrUnavailable.
	Put(ctx context.Context, key leverid.ObjectKey, value []byte, match Revision) (Revision, error)
	// List returns all objects whose key begins with prefix.
	List(ctx context.Context, prefix leverid.ObjectKey) (Changes, error)
	// Watch waits up to wait for a change after since to the objects whose
	// key begins with prefix. It returns at once if there already is one.
	Watch(ctx context.Context, prefix leverid.ObjectKey, since Revision, wait time.Duration) (Changes, error)
	// Delete removes an object if its revision is match. It returns the same
	// errors as Put.
	Delete(ctx context.Context, key leverid.ObjectKey, match Revision) error
	// VMs waits up to wait for a list of VMs newer than since and returns the
	// current list.
	VMs(ctx context.Context, since Revision, wait time.Duration) (VMList, error)
}

// Keys and key prefixes of the objects that VMs read or write.
const (
	// ServingPrefix is the prefix of the objects that every VM follows: the
	// configuration and the indexes.
	ServingPrefix leverid.ObjectKey = "serving/"
	ConfigKey     leverid.ObjectKey = ServingPrefix + "config"
	IndexPrefix   leverid.ObjectKey = ServingPrefix + "index/"
	ClaimPrefix   leverid.ObjectKey = "claim/"
)
