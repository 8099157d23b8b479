// Package config defines the configuration document of an environment.
//
// It parses and validates the document, encodes it as canonical TOML, and
// splits it into content-addressed parts that the platform stores. It does no
// file or network I/O.
package config
