// Package settings reads the settings file of a router.
//
// The file is TOML without tables. One list in the code describes every key;
// validation and error messages use it, and a test compares docs/SETTINGS.md
// with it.
package settings
