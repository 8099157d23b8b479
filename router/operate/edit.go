package operate

import (
	"context"
	"fmt"

	"ryelug/core/change"
	"ryelug/core/config"
	"ryelug/router/publish"
)

// DataCentre takes a data centre out of work or returns it; verb is how the history names that.
func (o *Operator) DataCentre(ctx context.Context, name, verb string, out bool) error {
	return o.edit(ctx, fmt.Sprintf("data-centre %s %s", verb, name), func(d *config.Document) error {
		return change.SetOut(d, name, out)
	})
}

// Endpoint lets an endpoint leave or return; verb is how the history names that.
func (o *Operator) Endpoint(ctx context.Context, name, verb string, leaving bool) error {
	return o.edit(ctx, fmt.Sprintf("endpoint %s %s", verb, name), func(d *config.Document) error {
		return change.SetLeaving(d, name, leaving)
	})
}

// edit changes the document in force.
func (o *Operator) edit(ctx context.Context, text string, alter func(*config.Document) error) error {
	base, err := o.present(ctx)
	if err != nil {
		return err
	}
	document, err := config.Parse(config.Encode(base.Document))
	if err != nil {
		return withCode(err)
	}
	if err := alter(document); err != nil {
		return withCode(err)
	}
	return o.put(ctx, publish.Change{Base: base, Document: document, Text: text})
}
