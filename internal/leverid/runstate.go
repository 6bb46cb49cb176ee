package leverid

import "github.com/juju/errors"

// RunState says what is known about whether an upstream ran a request.
type RunState uint8

// The run states.
const (
	// NotRun means that no upstream ran the request: no byte of it left, or
	// each upstream that got it said itself that it did not run it.
	NotRun RunState = iota
	// MayHaveRun means that at least one upstream may have run it.
	MayHaveRun
)

// String returns "not-run" or "may-have-run".
func (s RunState) String() string {
	if s == NotRun {
		return "not-run"
	}
	return "may-have-run"
}

// MarshalText writes the state's name.
func (s RunState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a state's name.
func (s *RunState) UnmarshalText(b []byte) error {
	switch string(b) {
	case "not-run":
		*s = NotRun
	case "may-have-run":
		*s = MayHaveRun
	default:
		return errors.BadRequestf("run-state %q", b)
	}
	return nil
}
