// Package settings reads the settings file of a router.
//
// The file is flat TOML. Every key is in one table, from which the checks, the
// errors and docs/SETTINGS.md follow.
package settings
