package httpmeta

import "net/http"

// ImpliesNotRun reports whether callers take a status to mean that their request was not
// run and never will be, so that they may send it again.
func ImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
