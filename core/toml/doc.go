// Package toml reads TOML into structs and knows where everything stood.
//
// Every error names the line, the key, the value found and what is allowed,
// also for what only a look at the whole text shows. Tables are arrays of
// tables, as in [[teams]].
package toml
