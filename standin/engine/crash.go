package engine

import "bytes"

// crashIfMarked ends the process if a request's body contains the crash marker.
func (e *Engine) crashIfMarked(body []byte) {
	if e.config.CrashMarker != "" && bytes.Contains(body, []byte(e.config.CrashMarker)) {
		e.config.Crash()
	}
}
