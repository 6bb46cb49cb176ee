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

// Keeper is the part of the store that patches need.
type Keeper interface {
	Get(ctx context.Context, key leverid.ObjectKey) (leverstore.Object, error)
	Put(ctx context.Context, key leverid.ObjectKey, value []byte, match leverstore.Revision) (leverstore.Revision, error)
}

// Verdict is the end of a patch.
type Verdict string

// The verdicts.
const (
	// Accepted patches are in the store and never revert.
	Accepted Verdict = "accepted"
	// Conflict means that another patch came first. Nothing changed.
	Conflict Verdict = "conflict"
	// Rejected means that the document would not be valid. Nothing changed.
	Rejected Verdict = "rejected"
	// Unknown means that the store did not tell in time. Asking again under
	// the same patch id settles it.
	Unknown Verdict = "unknown"
	// Unavailable means that the store took no call. Nothing changed.
	Unavailable Verdict = "unavailable"
)

// Outcome is the answer to a patch.
type Outcome struct {
	Verdict Verdict `json:"verdict"`
	PatchID PatchID `json:"patch-id"`
	// Version is the accepted version, or the present one after a conflict.
	Version leverid.ConfigVersion `json:"version"`
	Detail  string                `json:"detail,omitempty"`
}

// Submitter brings patches into the store. Its exported fields must be set
// before its first use. It is safe for concurrent use.
type Submitter struct {
	Store  Keeper
	Timer  *levertimer.Service
	Events *leverevent.Line
	// Seen returns the newest version that this VM knows. A store that
	// answers with an older one gave an old read.
	Seen func() leverid.ConfigVersion
}

const (
	firstPause = 20 * time.Millisecond
	maxPause   = 500 * time.Millisecond
	jitterPart = 0.5
)

// Submit settles a patch, or says that it could not before ctx ended. It may
// be called again with the same patch id.
func (s *Submitter) Submit(ctx context.Context, p *Patch) Outcome {
	out := s.settle(ctx, p)
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

func (s *Submitter) settle(ctx context.Context, p *Patch) Outcome {
	if err := p.check(); err != nil {
		return Outcome{Verdict: Rejected, Version: s.Seen(), Detail: err.Error()}
	}
	uncertain := false
	pause := firstPause
	for {
		out, final, err := s.try(ctx, p, uncertain)
		if final {
			return out
		}
		uncertain = uncertain || errors.Is(err, leverstore.ErrUnknown)
		if !s.Timer.Sleep(ctx, s.Timer.Jitter(pause, jitterPart)) {
			return giveUp(uncertain, err)
		}
		pause = min(2*pause, maxPause)
	}
}

func giveUp(uncertain bool, err error) Outcome {
	out := Outcome{Verdict: Unavailable, Detail: "the store did not answer"}
	if uncertain {
		out.Verdict = Unknown
		out.Detail = "the store's answer was lost; ask again with the same patch id"
	}
	if err != nil {
		out.Detail += ": " + err.Error()
	}
	return out
}

// try makes one read and one conditional update. It returns false if neither
// settled the patch. After an uncertain update, a conflict means only that
// another patch took the base: the own patch id was looked for first, and a
// write that is still on its way can only be refused.
func (s *Submitter) try(ctx context.Context, p *Patch, uncertain bool) (Outcome, bool, error) {
	cur, rev, err := s.read(ctx)
	if err != nil {
		return Outcome{}, false, err
	}
	if a, ok := cur.Find(p.ID); ok {
		return Outcome{Verdict: Accepted, Version: a.Version}, true, nil
	}
	if cur.Version < s.Seen() {
		return Outcome{}, false, errors.New("the store gave an old read")
	}
	next, err := cur.Apply(p, s.Timer.Now())
	if errors.Is(err, ErrBase) {
		return Outcome{Verdict: Conflict, Version: cur.Version, Detail: err.Error()}, true, nil
	}
	if err != nil {
		return Outcome{Verdict: Rejected, Version: cur.Version, Detail: err.Error()}, !uncertain, err
	}
	value, err := next.Encode()
	if err != nil {
		return Outcome{Verdict: Rejected, Version: cur.Version, Detail: err.Error()}, true, nil
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
	st, err := ParseStored(o.Value)
	return st, o.Revision, err
}
