// Package leversettings loads and validates the settings file of a process,
// which is JSON with comments and trailing commas. Errors name the file and,
// where they are known, the line and the key.
package leversettings

import (
	"bytes"
	"encoding/json"
	stderrors "errors"
	"fmt"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

const maxFileBytes = 16 << 20

// Load decodes the file at path into v, which should hold the defaults. Unknown
// keys are an error.
func Load(path string, v any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "settings")
	}
	return Parse(path, raw, v)
}

// Parse is Load for a file that has been read already. The path is used in
// errors.
func Parse(path string, raw []byte, v any) error {
	if len(raw) > maxFileBytes {
		return errors.NotValidf("%s: size of %d bytes (want at most 16 MiB)", path, len(raw))
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		return errors.NotValidf("%s: %s", path, strings.TrimPrefix(err.Error(), "hujson: "))
	}
	d := json.NewDecoder(bytes.NewReader(std))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return locateError(path, std, err)
	}
	return nil
}

// locateError adds the file, line and key to a decoder's error. The
// standardized JSON has the same line breaks as the file. The decoder gives no
// offset for an unknown key, so its line is that of the first occurrence of the
// key's text.
func locateError(path string, std []byte, err error) error {
	var typeErr *json.UnmarshalTypeError
	if stderrors.As(err, &typeErr) {
		return errors.NotValidf("%s:%d: %s: got %s, want %s", path, lineAt(std, int(typeErr.Offset)), typeErr.Field, typeErr.Value, typeErr.Type)
	}
	const unknownField = "json: unknown field "
	if text := err.Error(); strings.HasPrefix(text, unknownField) {
		key := strings.TrimPrefix(text, unknownField)
		offset := bytes.Index(std, []byte(key))
		return errors.NotValidf("%s:%d: unknown key %s", path, lineAt(std, offset), key)
	}
	return errors.NotValidf("%s: %s", path, err)
}

// lineAt returns the line number of offset in b, counted from 1. It returns 1
// for an offset outside b.
func lineAt(b []byte, offset int) int {
	if offset < 0 || offset > len(b) {
		return 1
	}
	return 1 + bytes.Count(b[:offset], []byte("\n"))
}

// KeyErrorf returns the error for a key whose value is not valid.
func KeyErrorf(path, key, format string, args ...any) error {
	return errors.NotValidf("%s: %s: %s", path, key, fmt.Sprintf(format, args...))
}
