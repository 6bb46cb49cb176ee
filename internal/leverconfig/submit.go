package leverconfig

import (
	"context"
	"time"

	"arbutuslever.dev/lever/internal/leverevent"
	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverstore"
	"arbutuslever.dev/lever/internal/levertimer"

	"github.com/juju/errors"
)

// ObjectStore is the part of the store that Submitter uses.
type ObjectStore interface {
	Get(ctx context.Context, key leverid.ObjectKey) (leverstore.Object, error)
	Put(ctx context.Context, key leverid.ObjectKey, value []byte, match leverstore.Revision) (leverstore.Revision, error)
}

// Verdict is the result of submitting a patch.
type Verdict string

// The verdicts.
const (
	// Accepted means that the patch is in the store. It is never reverted.
	Accepted Verdict = "accepted"
	// Conflict means that another patch was applied to the base version first.
	// Nothing changed.
	Conflict Verdict = "conflict"
	// Rejected means that the resulting document would be invalid. Nothing
	// changed.
	Rejected Verdict = "rejected"
	// Unknown means that the store did not confirm the write in time.
	// Submitting again with the same patch id resolves it.
	Unknown Verdict = "unknown"
	// Unavailable means that the store accepted no write. Nothing changed.
	Unavailable Verdict = "unavailable"
)

// Outcome is the reply to a patch.
type Outcome struct {
	Verdict Verdict `json:"verdict"`
	PatchID PatchID `json:"patch-id"`
	// Version is the accepted version, or the current one after a conflict.
	Version leverid.ConfigVersion `json:"version"`
	Detail  string                `json:"detail,omitempty"`
}

// Submitter applies patches to the stored configuration. Its exported fields
// must be set before first use. It is safe for concurrent use.
type Submitter struct {
	Store  ObjectStore
	Timer  *levertimer.Service
	Events *leverevent.Timeline
	// KnownVersion returns the newest version that this VM knows. A read of an
	// older version is stale.
	KnownVersion func() leverid.ConfigVersion
}

const (
	minBackoff     = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	jitterFraction = 0.5
)

// Submit applies a patch, retrying until it is decided or ctx ends. It may be
// called again with the same patch id.
func (s *Submitter) Submit(ctx context.Context, p *Patch) Outcome {
	out := s.submit(ctx, p)
	out.PatchID = p.ID
	kind := leverevent.ConfigRejected
	switch out.Verdict {
	case Accepted:
		kind = leverevent.ConfigAccepted
	case Unknown:
		kind = leverevent.ConfigUnknown
	}
	s.Events.Add(kind, string(p.ID), string(out.Verdict))
	return out
}

func (s *Submitter) submit(ctx context.Context, p *Patch) Outcome {
	if err := p.check(); err != nil {
		return Outcome{Verdict: Rejected, Version: s.KnownVersion(), Detail: err.Error()}
	}
	uncertain := false
	backoff := minBackoff
	for {
		out, final, err := s.attempt(ctx, p, uncertain)
		if final {
			return out
		}
		uncertain = uncertain || errors.Is(err, leverstore.ErrOutcomeUnknown)
		if !s.Timer.Sleep(ctx, s.Timer.Jitter(backoff, jitterFraction)) {
			return undecided(uncertain, err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func undecided(uncertain bool, err error) Outcome {
	out := Outcome{Verdict: Unavailable, Detail: "no write was confirmed"}
	if uncertain {
		out.Verdict = Unknown
		out.Detail = "the reply of the store was lost; submit again with the same patch id"
	}
	if err != nil {
		out.Detail += ": " + err.Error()
	}
	return out
}

// attempt makes one read and one conditional update. It returns false if the
// patch is still undecided. A conflict is final even after an update whose
// result is unknown: the history has been checked for the patch id before, and
// the store will refuse an update that is still in transit.
func (s *Submitter) attempt(ctx context.Context, p *Patch, uncertain bool) (Outcome, bool, error) {
	current, rev, err := s.read(ctx)
	if err != nil {
		return Outcome{}, false, err
	}
	if a, ok := current.Find(p.ID); ok {
		return Outcome{Verdict: Accepted, Version: a.Version}, true, nil
	}
	if current.Version < s.KnownVersion() {
		return Outcome{}, false, errors.New("the store returned a stale read")
	}
	next, err := current.Apply(p, s.Timer.Now())
	if errors.Is(err, ErrBaseMismatch) {
		return Outcome{Verdict: Conflict, Version: current.Version, Detail: err.Error()}, true, nil
	}
	if err != nil {
		return Outcome{Verdict: Rejected, Version: current.Version, Detail: err.Error()}, !uncertain, err
	}
	value, err := next.Encode()
	if err != nil {
		return Outcome{Verdict: Rejected, Version: current.Version, Detail: err.Error()}, true, nil
	}
	if _, err := s.Store.Put(ctx, leverstore.ConfigKey, value, rev); err != nil {
		return Outcome{}, false, err
	}
	return Outcome{Verdict: Accepted, Version: next.Version}, true, nil
}

func (s *Submitter) read(ctx context.Context) (*Stored, leverstore.Revision, error) {
	o, err := s.Store.Get(ctx, leverstore.ConfigKey)
	if errors.Is(err, errors.NotFound) {
		return &Stored{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	stored, err := ParseStored(o.Value)
	return stored, o.Revision, err
}
