package leverid

import "github.com/juju/errors"

// RunState reports whether an upstream may have run a request.
type RunState uint8

// The run states.
const (
	// NotRun means that no upstream ran the request: either none of it was
	// sent, or each upstream that received it answered that it did not run it.
	NotRun RunState = iota
	// MayHaveRun means that at least one upstream may have run the request.
	MayHaveRun
)

// String returns "not-run" or "may-have-run".
func (s RunState) String() string {
	if s == NotRun {
		return "not-run"
	}
	return "may-have-run"
}

// MarshalText returns the state's name.
func (s RunState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses a state's name.
func (s *RunState) UnmarshalText(b []byte) error {
	switch string(b) {
	case "not-run":
		*s = NotRun
	case "may-have-run":
		*s = MayHaveRun
	default:
		return errors.BadRequestf("run-state %q (want not-run or may-have-run)", b)
	}
	return nil
}
