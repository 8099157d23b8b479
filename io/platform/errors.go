package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

// Errors that the platform gives for certain: nothing was written.
var (
	ErrNotFound = errors.New("the platform has no such object")
	ErrExists   = errors.New("the platform has an object of this name already")
	ErrConflict = errors.New("the object was changed by someone else")
	ErrExpired  = errors.New("the platform no longer has the changes since this version")
	ErrTooLarge = errors.New("the value is larger than the platform takes")
	ErrSilent   = errors.New("the watch was silent past its deadline")
)

// ErrUnavailable tells that the platform did not answer as it should.
type ErrUnavailable struct {
	Unknown bool // Unknown is true if a write may have taken effect.
	Cause   error
}

// Error returns the cause and whether the write may have taken effect.
func (e *ErrUnavailable) Error() string {
	if e.Unknown {
		return fmt.Sprintf("the platform gave no answer, the write may have taken effect: %v", e.Cause)
	}
	return fmt.Sprintf("the platform is not available: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *ErrUnavailable) Unwrap() error {
	return e.Cause
}

// statusError turns an answer that is not a success into an error.
func statusError(code int, body []byte, write bool) error {
	var status Status
	if err := json.Unmarshal(body, &status); err != nil {
		return &ErrUnavailable{Unknown: write && code >= http.StatusInternalServerError, Cause: fmt.Errorf("HTTP status %d", code)}
	}
	switch status.Reason {
	case ReasonNotFound:
		return ErrNotFound
	case ReasonExists:
		return ErrExists
	case ReasonConflict:
		return ErrConflict
	case ReasonExpired:
		return ErrExpired
	case ReasonTooLarge:
		return ErrTooLarge
	}
	cause := fmt.Errorf("HTTP status %d: %s", code, status.Message)
	return &ErrUnavailable{Unknown: write && code >= http.StatusInternalServerError, Cause: cause}
}
