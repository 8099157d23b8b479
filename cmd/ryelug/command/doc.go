// Package command makes actions subcommands: their help, arguments, errors and
// exit status.
package command
