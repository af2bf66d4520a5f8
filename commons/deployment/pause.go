package deployment

import (
	"fmt"
	"time"
)

// PauseError reports that a backend server has refused a call and wants no others for a
// time.
type PauseError struct{ wait time.Duration }

// NewPauseError returns the error.
func NewPauseError(wait time.Duration) *PauseError { return &PauseError{wait: wait} }

// Wait returns the time that the backend server stated.
func (e *PauseError) Wait() time.Duration { return e.wait }

// Error returns the text of the error.
func (e *PauseError) Error() string { return fmt.Sprintf("refused for %s", e.wait) }
