// Package toml reads TOML into structs and keeps the position of each key.
//
// Every error names the line, the key, the value found and the allowed values.
// A caller can report an error for a key after the whole text is read, as for
// duplicate names. The only tables allowed are arrays of tables, as in [[teams]].
package toml
