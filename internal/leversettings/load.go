// Package leversettings reads the settings file of a process: JSON with
// comments, checked, with errors that name the file, the line and the key.
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

// maxFile bounds a settings file in bytes.
const maxFile = 16 << 20

// Load reads the file at path into v, which should hold the defaults. Keys that
// v does not have are refused.
func Load(path string, v any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errors.Annotate(err, "settings")
	}
	return Parse(path, raw, v)
}

// Parse reads settings that came from the file at path.
func Parse(path string, raw []byte, v any) error {
	if len(raw) > maxFile {
		return errors.NotValidf("%s: %d bytes", path, len(raw))
	}
	std, err := hujson.Standardize(raw)
	if err != nil {
		return errors.NotValidf("%s: %s", path, strings.TrimPrefix(err.Error(), "hujson: "))
	}
	d := json.NewDecoder(bytes.NewReader(std))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return locate(path, std, err)
	}
	return nil
}

// locate turns a decoder's error into one with file, line and key. The
// standard form has the same line breaks as the file.
func locate(path string, std []byte, err error) error {
	var typ *json.UnmarshalTypeError
	if stderrors.As(err, &typ) {
		return errors.NotValidf("%s:%d: %s: %s where %s is wanted", path, lineAt(std, int(typ.Offset)), typ.Field, typ.Value, typ.Type)
	}
	const unknown = "json: unknown field "
	if text := err.Error(); strings.HasPrefix(text, unknown) {
		key := strings.TrimPrefix(text, unknown)
		at := bytes.Index(std, []byte(key))
		return errors.NotValidf("%s:%d: unknown key %s", path, lineAt(std, at), key)
	}
	return errors.NotValidf("%s: %s", path, err)
}

func lineAt(b []byte, offset int) int {
	if offset < 0 || offset > len(b) {
		return 1
	}
	return 1 + bytes.Count(b[:offset], []byte("\n"))
}

// KeyError is the error of a key whose value is out of bounds.
func KeyError(path, key, format string, args ...any) error {
	return errors.NotValidf("%s: %s: %s", path, key, fmt.Sprintf(format, args...))
}
