package guide

import "bytes"

// crash ends the process if a request's body holds the marker.
func (e *Engine) crash(body []byte) {
	if e.config.Marker != "" && bytes.Contains(body, []byte(e.config.Marker)) {
		e.config.Crash()
	}
}
