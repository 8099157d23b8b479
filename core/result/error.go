package result

import "errors"

// Error gives another error a Code.
type Error struct {
	code Code
	err  error
}

// Wrap gives err a code.
func Wrap(code Code, err error) error {
	return &Error{code: code, err: err}
}

// Error returns the text of the cause.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Code returns the code.
func (e *Error) Code() Code { return e.code }

// coded is an error that knows its code.
type coded interface {
	error
	Code() Code
}

// Of returns the code of an error; InternalFailure stands for one that has none.
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
