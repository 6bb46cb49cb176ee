package leverentry

import (
	"encoding/base64"
	"encoding/json"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverquery"

	"github.com/juju/errors"
)

// page is the content of a page token: the snapshot that the answer was read at
// and the key of the last record returned.
type page struct {
	Snapshot leverid.IndexVersion `json:"s"`
	After    string               `json:"a"`
}

func pageToken(v leverid.IndexVersion, after string) string {
	// Marshal can't fail on a struct of a number and a string.
	b, _ := json.Marshal(page{v, after})
	return base64.RawURLEncoding.EncodeToString(b)
}

func setPage(req *leverquery.Request, token string) error {
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil {
		return errors.BadRequestf("page: %v", err)
	}
	var p page
	if err := json.Unmarshal(raw, &p); err != nil || p.Snapshot == 0 {
		return errors.BadRequestf("page: invalid page token")
	}
	req.Version = p.Snapshot
	req.After = p.After
	return nil
}
