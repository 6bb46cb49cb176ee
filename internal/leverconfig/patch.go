package leverconfig

import (
	"encoding/json"
	"slices"
	"time"

	"arbutuslever.dev/lever/internal/leverid"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/juju/errors"
)

// PatchID names a patch. It is drawn by the operator's command, which keeps it
// over its retries.
type PatchID string

// Patch is a change of the configuration against one version.
type Patch struct {
	ID   PatchID               `json:"id"`
	Base leverid.ConfigVersion `json:"base"`
	// By is who sent it, for the history.
	By string `json:"by,omitempty"`
	// Merge is a JSON merge patch (RFC 7396).
	Merge json.RawMessage `json:"merge"`
}

// Applied is the history's entry of an accepted patch.
type Applied struct {
	ID      PatchID               `json:"id"`
	Version leverid.ConfigVersion `json:"version"`
	By      string                `json:"by,omitempty"`
	At      time.Time             `json:"at"`
}

// historyLength is the number of accepted patches that the object keeps. A
// patch whose answer was lost can be asked for as long as it is among them.
const historyLength = 128

// Stored is the configuration object as the platform keeps it. The zero value
// is the configuration before the first patch.
type Stored struct {
	Version  leverid.ConfigVersion `json:"version"`
	History  []Applied             `json:"history,omitempty"`
	Document json.RawMessage       `json:"document"`
}

// ParseStored reads a stored object; no bytes are the zero value.
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

// Encode returns the object's value.
func (s *Stored) Encode() ([]byte, error) { return json.Marshal(s) }

// Find returns the history's entry of a patch.
func (s *Stored) Find(id PatchID) (Applied, bool) {
	i := slices.IndexFunc(s.History, func(a Applied) bool { return a.ID == id })
	if i < 0 {
		return Applied{}, false
	}
	return s.History[i], true
}

// Check reads and checks the document; a configuration without one has all
// defaults.
func (s *Stored) Check() (*Document, error) {
	raw := []byte(s.Document)
	if len(raw) == 0 {
		raw = []byte("{}")
	}
	return ParseDocument(raw)
}

// ErrBase means that the patch names another version than the present one.
const ErrBase = errors.ConstError("base is not the present version")

const maxPatchID = 64

// check looks at the parts of a patch that do not depend on the document.
func (p *Patch) check() error {
	if p.ID == "" || len(p.ID) > maxPatchID {
		return errors.NotValidf("patch id of %d bytes (want 1 to %d)", len(p.ID), maxPatchID)
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(p.Merge, &members); err != nil {
		return errors.NotValidf("patch (want a JSON object)")
	}
	return nil
}

// Apply returns the configuration after a patch. The error is ErrBase or
// NotValid; s is unchanged.
func (s *Stored) Apply(p *Patch, now time.Time) (*Stored, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	if p.Base != s.Version {
		return nil, errors.Annotatef(ErrBase, "base %d, present %d", p.Base, s.Version)
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
	next.History = append(slices.Clone(s.History), Applied{ID: p.ID, Version: next.Version, By: p.By, At: now.UTC()})
	if extra := len(next.History) - historyLength; extra > 0 {
		next.History = next.History[extra:]
	}
	return next, nil
}
