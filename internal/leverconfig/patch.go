package leverconfig

import (
	"encoding/json"
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverid"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/juju/errors"
)

// PatchID identifies a patch. The operator's command generates it and uses the
// same id for its retries.
type PatchID string

// Patch is a change to one version of the configuration.
type Patch struct {
	ID   PatchID               `json:"id"`
	Base leverid.ConfigVersion `json:"base"`
	// By is the operator who sent the patch, recorded in the history.
	By string `json:"by,omitempty"`
	// Merge is a JSON merge patch (RFC 7396).
	Merge json.RawMessage `json:"merge"`
}

// HistoryEntry records an accepted patch in the history.
type HistoryEntry struct {
	ID      PatchID               `json:"id"`
	Version leverid.ConfigVersion `json:"version"`
	By      string                `json:"by,omitempty"`
	At      time.Time             `json:"at"`
}

// maxHistory is the number of accepted patches that the object retains. The
// result of a patch whose reply was lost can be looked up while it is among
// them.
const maxHistory = 128

// Stored is the configuration object in the platform's store. The zero value is
// the configuration before the first patch.
type Stored struct {
	Version  leverid.ConfigVersion `json:"version"`
	History  []HistoryEntry        `json:"history,omitempty"`
	Document json.RawMessage       `json:"document"`
}

// ParseStored decodes a stored object. Empty input yields the zero value.
func ParseStored(b []byte) (*Stored, error) {
	var s Stored
	if len(b) == 0 {
		return &s, nil
	}
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, errors.NewNotValid(err, "configuration object")
	}
	return &s, nil
}

// Encode returns the JSON form of the object.
func (s *Stored) Encode() ([]byte, error) { return json.Marshal(s) }

// Find returns the history entry of a patch.
func (s *Stored) Find(id PatchID) (HistoryEntry, bool) {
	i := slices.IndexFunc(s.History, func(a HistoryEntry) bool { return a.ID == id })
	if i < 0 {
		return HistoryEntry{}, false
	}
	return s.History[i], true
}

// Check decodes and validates the document. Without a document, all settings
// have their defaults.
func (s *Stored) Check() (*Document, error) {
	raw := []byte(s.Document)
	if len(raw) == 0 {
		raw = []byte("{}")
	}
	return ParseDocument(raw)
}

// ErrBaseMismatch means that the base of a patch is not the current version.
const ErrBaseMismatch = errors.ConstError("base is not the current version")

const maxPatchIDBytes = 64

// check validates the parts of a patch that do not depend on the document.
func (p *Patch) check() error {
	if p.ID == "" || len(p.ID) > maxPatchIDBytes {
		return errors.NotValidf("patch id of %d bytes (want 1 to %d)", len(p.ID), maxPatchIDBytes)
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(p.Merge, &members); err != nil || members == nil {
		return errors.NotValidf("patch %.40q (want a JSON object)", p.Merge)
	}
	return nil
}

// Apply returns the configuration after a patch and leaves s unchanged. The
// error is ErrBaseMismatch or NotValid.
func (s *Stored) Apply(p *Patch, now time.Time) (*Stored, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	if p.Base != s.Version {
		return nil, errors.Annotatef(ErrBaseMismatch, "base %d, current version %d", p.Base, s.Version)
	}
	doc := []byte(s.Document)
	if len(doc) == 0 {
		doc = []byte("{}")
	}
	merged, err := jsonpatch.MergePatch(doc, p.Merge)
	if err != nil {
		return nil, errors.NewNotValid(err, "patch")
	}
	next := &Stored{Version: s.Version + 1, Document: merged}
	if _, err := next.Check(); err != nil {
		return nil, err
	}
	next.History = append(slices.Clone(s.History), HistoryEntry{ID: p.ID, Version: next.Version, By: p.By, At: now.UTC()})
	if extra := len(next.History) - maxHistory; extra > 0 {
		next.History = next.History[extra:]
	}
	return next, nil
}
