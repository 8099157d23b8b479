package operate

import (
	"errors"
	"fmt"
	"io"
	"os"

	"ryelug/core/config"
	"ryelug/core/result"
)

// ReadDocument reads and validates a document file. The error has the code
// result.BadArguments if the file can't be read, and result.BadDocument if it is not valid.
func ReadDocument(name string) (*config.Document, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, result.Wrap(result.BadArguments, err)
	}
	document, err := config.Parse(data)
	var all config.Errors
	if errors.As(err, &all) {
		return nil, documentError(name, all)
	}
	return document, err
}

// documentError returns an error with code result.BadDocument that holds each error of a
// document on a line of its own, after the file's name.
func documentError(name string, all config.Errors) error {
	lines := make([]error, len(all))
	for i, one := range all {
		lines[i] = fmt.Errorf("%s: %w", name, one)
	}
	return result.Wrap(result.BadDocument, errors.Join(lines...))
}

// Summarise prints in one line how many items of each kind a document has.
func Summarise(to io.Writer, d *config.Document) {
	fmt.Fprintf(to, "environment %s: %d teams, %d data centres, %d pools, %d endpoints, %d routes\n",
		d.Environment, len(d.Teams), len(d.DataCentres), len(d.Pools), len(d.Endpoints), len(d.Routes))
}
