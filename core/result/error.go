package result

import "errors"

// Error is an error with a Code. It wraps the error that caused it.
type Error struct {
	code Code
	err  error
}

// Wrap returns an Error that wraps err and has the given code.
func Wrap(code Code, err error) error {
	return &Error{code: code, err: err}
}

// Error returns the text of the wrapped error.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.err }

// Code returns the result code of the error.
func (e *Error) Code() Code { return e.code }

// coded is implemented by errors that have a result code.
type coded interface {
	error
	Code() Code
}

// Of returns the code of the first error in the chain of err that has one: OK for nil, InternalFailure if none has.
func Of(err error) Code {
	var known coded
	switch {
	case err == nil:
		return OK
	case errors.As(err, &known):
		return known.Code()
	}
	return InternalFailure
}
