package leverconfig

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"arbutuslever.dev/lever/internal/leverid"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// Document is a validated configuration.
type Document struct {
	System   System
	Default  Service
	Services map[leverid.ServiceID]Service
}

// wireDocument is the JSON form of a Document, with its sections not yet
// decoded.
type wireDocument struct {
	System   json.RawMessage                       `json:"system,omitempty"`
	Defaults json.RawMessage                       `json:"defaults,omitempty"`
	Services map[leverid.ServiceID]json.RawMessage `json:"services,omitempty"`
}

const (
	// MaxDocumentBytes is the maximum size of a document in bytes. It is below
	// the platform's limit for a value.
	MaxDocumentBytes    = 512 << 10
	maxServiceNameBytes = 128
	// maxFloorSum limits the sum of the floors, so that some capacity is always
	// allocated by rank.
	maxFloorSum = 0.9
)

// ParseDocument decodes and validates a document. Errors are NotValid and
// name the path of the invalid value.
func ParseDocument(raw []byte) (*Document, error) {
	if len(raw) > MaxDocumentBytes {
		return nil, errors.NotValidf("document of %d bytes (at most %d)", len(raw), MaxDocumentBytes)
	}
	var w wireDocument
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&w); err != nil {
		return nil, errors.NewNotValid(err, "document")
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, errors.NotValidf("document: text after byte %d", d.InputOffset())
	}
	return w.check()
}

func (w *wireDocument) check() (*Document, error) {
	doc := &Document{Services: make(map[leverid.ServiceID]Service, len(w.Services))}
	defaults(SystemSettings, &doc.System)
	if err := apply(SystemSettings, &doc.System, "system", w.System); err != nil {
		return nil, err
	}
	defaults(ServiceSettings, &doc.Default)
	if err := apply(ServiceSettings, &doc.Default, "defaults", w.Defaults); err != nil {
		return nil, err
	}
	if err := doc.Default.check("defaults", &doc.System); err != nil {
		return nil, err
	}
	for id, raw := range w.Services {
		path := "services." + string(id)
		if id == "" || len(id) > maxServiceNameBytes {
			return nil, errors.NotValidf("%s: service name", path)
		}
		s := doc.Default
		if err := apply(ServiceSettings, &s, path, raw); err != nil {
			return nil, err
		}
		if err := s.check(path, &doc.System); err != nil {
			return nil, err
		}
		doc.Services[id] = s
	}
	return doc, nil
}

// check validates constraints that involve more than one key.
func (s *Service) check(path string, sys *System) error {
	if sum := s.FloorUrgent + s.FloorRoutine + s.FloorBulk; sum > maxFloorSum {
		return errors.NotValidf("%s: sum of floors %g (at most %g)", path, sum, maxFloorSum)
	}
	if s.DefaultDeadlineMS > s.MaxDeadlineMS {
		return errors.NotValidf("%s.default-deadline-ms: value above max-deadline-ms %g", path, s.MaxDeadlineMS)
	}
	keep := time.Duration(sys.ClaimKeepS * float64(time.Second))
	if longest := time.Duration(s.MaxDeadlineMS) * time.Millisecond; keep < 2*longest {
		return errors.NotValidf("%s.max-deadline-ms: value above half of system.claim-keep-s %g", path, sys.ClaimKeepS)
	}
	return nil
}

// Service returns the configuration of a service, or the defaults if the
// document has no section for it.
func (d *Document) Service(id leverid.ServiceID) Service {
	if s, ok := d.Services[id]; ok {
		return s
	}
	return d.Default
}

// Standardize converts JSON with comments and trailing commas to plain JSON.
// Errors name the line.
func Standardize(raw []byte) ([]byte, error) {
	b, err := hujson.Standardize(raw)
	if err != nil {
		return nil, errors.NewNotValid(err, "JSON with comments")
	}
	return b, nil
}
