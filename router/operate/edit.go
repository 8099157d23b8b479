package operate

import (
	"context"
	"fmt"

	"ryelug/core/change"
	"ryelug/core/config"
	"ryelug/router/publish"
)

// SetDataCentreOut takes a data centre out of work, or returns it to work. The history shows
// the change as "data-centre", verb and name. The error has the code result.UnknownName
// if the document in force has no such data centre.
func (o *Operator) SetDataCentreOut(ctx context.Context, name, verb string, out bool) error {
	return o.edit(ctx, fmt.Sprintf("data-centre %s %s", verb, name), func(d *config.Document) error {
		return change.SetOutOfService(d, name, out)
	})
}

// SetEndpointLeaving marks an endpoint as leaving, or returns it to work. The history shows the
// change as "endpoint", verb and name. The error has the code result.UnknownName if the
// document in force has no such endpoint.
func (o *Operator) SetEndpointLeaving(ctx context.Context, name, verb string, leaving bool) error {
	return o.edit(ctx, fmt.Sprintf("endpoint %s %s", verb, name), func(d *config.Document) error {
		return change.SetLeaving(d, name, leaving)
	})
}

// edit applies modify to a copy of the document in force and publishes the copy; text
// describes the change in the history.
func (o *Operator) edit(ctx context.Context, text string, modify func(*config.Document) error) error {
	base, err := o.readInForce(ctx)
	if err != nil {
		return err
	}
	document, err := config.Parse(config.Encode(base.Document))
	if err != nil {
		return withCode(err)
	}
	if err := modify(document); err != nil {
		return withCode(err)
	}
	return o.put(ctx, publish.Change{Base: base, Document: document, Description: text})
}
