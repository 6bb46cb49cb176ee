// Package levermsg holds the typed messages that VMs exchange. They are
// encoded with msgpack; a field's short name is part of the protocol and is
// never reused.
package levermsg

// Record is one entry of an answer. Records with the same key are the same
// entry; the higher revision replaces the lower one.
type Record struct {
	Key      string `json:"key" msgpack:"k"`
	Revision uint64 `json:"revision" msgpack:"r"`
	// Value is JSON that the query tier does not interpret.
	Value RawJSON `json:"value,omitempty" msgpack:"v"`
}

// RawJSON is encoded JSON, passed on unread.
type RawJSON []byte

// MarshalJSON returns the bytes as they are, or null if there are none.
func (r RawJSON) MarshalJSON() ([]byte, error) {
	if len(r) == 0 {
		return []byte("null"), nil
	}
	return r, nil
}

// UnmarshalJSON keeps a copy of the bytes.
func (r *RawJSON) UnmarshalJSON(b []byte) error {
	*r = append((*r)[:0], b...)
	return nil
}
