package operate

import (
	"context"
	"fmt"
	"time"

	"ryelug/core/config"
)

// timeForm is how a time is printed.
const timeForm = time.RFC3339

// Status prints the generation in force and what is out or leaving.
func (o *Operator) Status(ctx context.Context) error {
	now, err := o.present(ctx)
	if err != nil {
		return err
	}
	o.printRoot(now.Root)
	Summarise(o.config.Out, now.Document)
	for _, centre := range now.Document.DataCentres {
		if centre.Out {
			o.print("data centre %s is out", centre.Name)
		}
	}
	for _, endpoint := range now.Document.Endpoints {
		if endpoint.Leaving {
			o.print("endpoint %s is leaving", endpoint.Name)
		}
	}
	return nil
}

// Show prints the document in force.
func (o *Operator) Show(ctx context.Context) error {
	now, err := o.present(ctx)
	if err != nil {
		return err
	}
	return o.printDocument(now.Document)
}

// History prints the generations that are kept.
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

// ShowGeneration prints the document of a generation that is kept.
func (o *Operator) ShowGeneration(ctx context.Context, generation uint64) error {
	document, err := o.publisher.DocumentOf(ctx, generation)
	if err != nil {
		return withCode(fmt.Errorf("generation %d: %w", generation, err))
	}
	return o.printDocument(document)
}

// printRoot prints a generation in one line.
func (o *Operator) printRoot(root config.Root) {
	o.print("generation %d  %s  change %s  %s", root.Generation, root.Changed.Format(timeForm), root.ChangeID, root.Change)
}

// printDocument prints a document as TOML.
func (o *Operator) printDocument(document *config.Document) error {
	_, err := o.config.Out.Write(config.Encode(document))
	return err
}
