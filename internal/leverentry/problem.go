package leverentry

import (
	"net/http"

	"arbutuslever.dev/lever/internal/leverquery"
)

// problemType is the HTTP status and title that answer a refusal reason.
type problemType struct {
	status int
	title  string
}

var problemTypes = map[leverquery.Reason]problemType{
	leverquery.BadRequest:      {http.StatusBadRequest, "The request is not valid"},
	leverquery.UnknownService:  {http.StatusNotFound, "There is no such service"},
	leverquery.UnknownVersion:  {http.StatusGone, "The snapshot can no longer be queried"},
	leverquery.Overloaded:      {http.StatusTooManyRequests, "There is no room for work of this rank"},
	leverquery.DeadlineTooNear: {http.StatusGatewayTimeout, "The deadline can't be met"},
	leverquery.DeadlinePassed:  {http.StatusGatewayTimeout, "The deadline has passed"},
	leverquery.Incomplete:      {http.StatusServiceUnavailable, "Too few shards answered"},
	leverquery.CrashSuspected:  {http.StatusBadGateway, "The request may crash upstreams"},
	leverquery.CrashBarred:     {http.StatusUnprocessableEntity, "The request crashes upstreams"},
	leverquery.ClaimTaken:      {http.StatusConflict, "The request id was used before"},
	leverquery.ClaimFailed:     {http.StatusServiceUnavailable, "The request id could not be claimed"},
	leverquery.OutcomeUnknown:  {http.StatusBadGateway, "The request may have been run"},
	leverquery.Unavailable:     {http.StatusServiceUnavailable, "The upstream did not take the request"},
	leverquery.Stopping:        {http.StatusServiceUnavailable, "The VM is stopping"},
	leverquery.NotReady:        {http.StatusServiceUnavailable, "The VM has no configuration yet"},
}

// classify returns the HTTP status and title for a refusal reason. A reason
// without an entry in problemTypes is an internal error.
func classify(r leverquery.Reason) (status int, title string) {
	if t, ok := problemTypes[r]; ok {
		return t.status, t.title
	}
	return http.StatusInternalServerError, "The VM met a fault of its own"
}
