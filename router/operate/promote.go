package operate

import (
	"context"
	"fmt"

	"ryelug/core/change"
	"ryelug/router/publish"
)

// Promote puts the policy of another environment of the same platform in force in this
// one: its pools, routes, teams' shares and endpoints' limits. Data centres, endpoints
// and keys of this environment stay. With show it prints the resulting document and
// changes nothing.
func (o *Operator) Promote(ctx context.Context, from string, show bool) error {
	source := o.config
	source.Environment = from
	origin, err := New(source)
	if err != nil {
		return err
	}
	policy, err := origin.readInForce(ctx)
	if err != nil {
		return err
	}
	base, err := o.readInForce(ctx)
	if err != nil {
		return err
	}
	promotion, err := change.Promote(policy.Document, base.Document)
	if err != nil {
		return withCode(fmt.Errorf("the policy of %s does not fit %s: %w", from, o.config.Environment, err))
	}
	for _, note := range promotion.Notes {
		o.notice("%s", note)
	}
	if show {
		return o.printDocument(promotion.Document)
	}
	text := fmt.Sprintf("promote from %s generation %d", from, policy.Root.Generation)
	return o.put(ctx, publish.Change{Base: base, Document: promotion.Document, Description: text})
}
