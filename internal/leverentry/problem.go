package leverentry

import (
	"net/http"

	"arbutuslever.dev/lever/internal/leverquery"
)

type class struct {
	status int
	title  string
}

var classes = map[leverquery.Reason]class{
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

// classify returns the HTTP status and the title of a reason.
func classify(r leverquery.Reason) (status int, title string) {
	if c, ok := classes[r]; ok {
		return c.status, c.title
	}
	return http.StatusInternalServerError, "The VM met a fault of its own"
}
