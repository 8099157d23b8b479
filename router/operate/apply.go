package operate

import (
	"context"
	"fmt"
	"strings"

	"ryelug/core/change"
	"ryelug/core/config"
	"ryelug/core/result"
	"ryelug/router/publish"
)

// ApplyRequest is a document to be put in force by Operator.Apply.
type ApplyRequest struct {
	Document     *config.Document // Document is the whole new document.
	AllowReturns bool             // AllowReturns permits a change that puts data centres or endpoints which are out or leaving back to work; without it such a change fails.
	Above        uint64           // Above is a generation number that the new one must exceed; 0 for none.
}

// CheckEnvironment returns an error with code result.BadDocument if the document is not
// one of the given environment. The error begins with the name of the document's file.
func CheckEnvironment(file string, document *config.Document, environment string) error {
	if document.Environment == environment {
		return nil
	}
	wrong := &config.Error{Line: 1, Key: "environment", Value: document.Environment, Allowed: environment + ", as -environment says"}
	return documentError(file, config.Errors{wrong})
}

// Apply puts a document in force, also in place of one that can't be read. It fails with
// result.Conflict if another change came first, or if the document would return a data
// centre or endpoint to work without ApplyRequest.AllowReturns.
func (o *Operator) Apply(ctx context.Context, a ApplyRequest) error {
	base, err := o.publisher.Read(ctx)
	if err != nil {
		return withCode(err)
	}
	if base.Broken != nil {
		o.notice("replaces a document that can't be read: %v", base.Broken)
	}
	if err := a.rejectReturns(base); err != nil {
		return err
	}
	return o.put(ctx, publish.Change{Base: base, Document: a.Document, Description: "apply", Above: a.Above})
}

// rejectReturns returns an error with code result.Conflict if data centres or endpoints are out or
// leaving in base and the document would put them back to work, unless ApplyRequest.AllowReturns is set.
func (a ApplyRequest) rejectReturns(base publish.Snapshot) error {
	if a.AllowReturns || base.Document == nil {
		return nil
	}
	returned := change.ReturnedToService(base.Document, a.Document)
	if len(returned) == 0 {
		return nil
	}
	err := fmt.Errorf("the file would return %s; set out or leaving in the file, or give -return", strings.Join(returned, ", "))
	return result.Wrap(result.Conflict, err)
}
