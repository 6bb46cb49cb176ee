package leverconfig

import (
	"bytes"
	"encoding/json"
	"time"

	"arbutuslever.dev/lever/internal/leverid"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// Document is a checked configuration.
type Document struct {
	System   System
	Default  Service
	Services map[leverid.ServiceID]Service
}

// wireDocument is the document's JSON form.
type wireDocument struct {
	System   json.RawMessage                       `json:"system,omitempty"`
	Defaults json.RawMessage                       `json:"defaults,omitempty"`
	Services map[leverid.ServiceID]json.RawMessage `json:"services,omitempty"`
}

const (
	// MaxDocument bounds a document in bytes, below the platform's limit for
	// a value.
	MaxDocument = 512 << 10
	maxName     = 128
	// floorsSum bounds the sum of the floors, so that some capacity is left to
	// go by rank.
	floorsSum = 0.9
)

// ParseDocument reads and checks a document. An error is NotValid and names
// the path of what is wrong.
func ParseDocument(raw []byte) (*Document, error) {
	if len(raw) > MaxDocument {
		return nil, errors.NotValidf("document of %d bytes (at most %d)", len(raw), MaxDocument)
	}
	var w wireDocument
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&w); err != nil {
		return nil, errors.NewNotValid(err, "document")
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
		if id == "" || len(id) > maxName {
			return nil, errors.NotValidf("%s: name", path)
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

// check is the part of the check that looks at several keys together.
func (s *Service) check(path string, sys *System) error {
	if sum := s.FloorUrgent + s.FloorRoutine + s.FloorBulk; sum > floorsSum {
		return errors.NotValidf("%s: floors sum up to %g (at most %g)", path, sum, floorsSum)
	}
	if s.DefaultDeadlineMS > s.MaxDeadlineMS {
		return errors.NotValidf("%s.default-deadline-ms: above max-deadline-ms %g", path, s.MaxDeadlineMS)
	}
	keep := time.Duration(sys.ClaimKeepS * float64(time.Second))
	if longest := time.Duration(s.MaxDeadlineMS) * time.Millisecond; keep < 2*longest {
		return errors.NotValidf("%s.max-deadline-ms: above half of system.claim-keep-s %g", path, sys.ClaimKeepS)
	}
	return nil
}

// Service returns the configuration of a service, the defaults if it has none
// of its own.
func (d *Document) Service(id leverid.ServiceID) Service {
	if s, ok := d.Services[id]; ok {
		return s
	}
	return d.Default
}

// Standardize turns JSON with comments into JSON. The error names the line.
func Standardize(raw []byte) ([]byte, error) {
	b, err := hujson.Standardize(raw)
	if err != nil {
		return nil, errors.NewNotValid(err, "JSON with comments")
	}
	return b, nil
}
