package operate

import (
	"context"
	"fmt"
	"time"

	"ryelug/core/config"
)

// timeFormat is the format of printed times.
const timeFormat = time.RFC3339

// Status prints the generation in force, a summary of its document, and the data centres
// that are out and endpoints that are leaving.
func (o *Operator) Status(ctx context.Context) error {
	current, err := o.readInForce(ctx)
	if err != nil {
		return err
	}
	o.printRoot(current.Root)
	Summarise(o.config.Out, current.Document)
	for _, centre := range current.Document.DataCentres {
		if centre.Out {
			o.print("data centre %s is out", centre.Name)
		}
	}
	for _, endpoint := range current.Document.Endpoints {
		if endpoint.Leaving {
			o.print("endpoint %s is leaving", endpoint.Name)
		}
	}
	return nil
}

// Show prints the document in force as TOML.
func (o *Operator) Show(ctx context.Context) error {
	current, err := o.readInForce(ctx)
	if err != nil {
		return err
	}
	return o.printDocument(current.Document)
}

// History prints the generation in force and those kept in the history, newest first, one a line.
func (o *Operator) History(ctx context.Context) error {
	roots, err := o.publisher.History(ctx)
	if err != nil {
		return withCode(err)
	}
	for _, root := range roots {
		o.printRoot(root)
	}
	return nil
}

// ShowGeneration prints the document of a generation as TOML. The error has the code
// result.UnknownName if the generation is neither in force nor kept.
func (o *Operator) ShowGeneration(ctx context.Context, generation uint64) error {
	document, err := o.publisher.DocumentOf(ctx, generation)
	if err != nil {
		return withCode(fmt.Errorf("generation %d: %w", generation, err))
	}
	return o.printDocument(document)
}

// printRoot prints a generation in one line.
func (o *Operator) printRoot(root config.Root) {
	o.print("generation %d  %s  change %s  %s", root.Generation, root.Changed.Format(timeFormat), root.ChangeID, root.Change)
}

// printDocument prints a document as TOML.
func (o *Operator) printDocument(document *config.Document) error {
	_, err := o.config.Out.Write(config.Encode(document))
	return err
}
