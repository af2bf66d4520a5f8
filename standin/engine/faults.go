package engine

import "bytes"

// crash ends the process if a request's body holds the marker.
func (e *Engine) crashIfMarked(body []byte) {
	if e.config.CrashMarker != "" && bytes.Contains(body, []byte(e.config.CrashMarker)) {
		e.config.Crash()
	}
}
