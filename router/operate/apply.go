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

// Application is a document to be put in force.
type Application struct {
	Document *config.Document
	Return   bool   // Return lets it return data centres and endpoints to work.
	Above    uint64 // Above is a generation that the new one must exceed.
}

// CheckEnvironment refuses the document of a file that is of another environment.
func CheckEnvironment(file string, document *config.Document, environment string) error {
	if document.Environment == environment {
		return nil
	}
	wrong := &config.Error{Line: 1, Key: "environment", Value: document.Environment, Allowed: environment + ", as -environment says"}
	return documentError(file, config.Errors{wrong})
}

// Apply puts a document in force.
func (o *Operator) Apply(ctx context.Context, a Application) error {
	base, err := o.publisher.Read(ctx)
	if err != nil {
		return withCode(err)
	}
	if base.Broken != nil {
		o.notice("replaces a document that can't be read: %v", base.Broken)
	}
	if err := a.refuseReturns(base); err != nil {
		return err
	}
	return o.put(ctx, publish.Change{Base: base, Document: a.Document, Text: "apply", Above: a.Above})
}

// refuseReturns refuses a document that would put back to work what operators have taken out.
func (a Application) refuseReturns(base publish.Snapshot) error {
	if a.Return || base.Document == nil {
		return nil
	}
	back := change.Returns(base.Document, a.Document)
	if len(back) == 0 {
		return nil
	}
	err := fmt.Errorf("the file would return %s; set out or leaving in the file, or give -return", strings.Join(back, ", "))
	return result.Wrap(result.Conflict, err)
}
