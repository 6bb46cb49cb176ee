package leverentry

import (
	"encoding/base64"
	"encoding/json"

	"arbutuslever.dev/lever/internal/leverid"
	"arbutuslever.dev/lever/internal/leverquery"

	"github.com/juju/errors"
)

// page is what a page token holds: the pinned snapshot and the last key.
type page struct {
	Snapshot leverid.IndexVersion `json:"s"`
	After    string               `json:"a"`
}

func pageToken(v leverid.IndexVersion, after string) string {
	// A page is a number and a text: encoding it can't fail.
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
		return errors.BadRequestf("page: not a token of an answer")
	}
	req.Version = p.Snapshot
	req.After = p.After
	return nil
}
