// Package config holds the document of an environment: its types, validation, parts and generations.
//
// It is part of the state layer and reads no files and no network.
package config
