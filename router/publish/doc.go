// Package publish puts changes of a configuration in force, for operators' commands.
//
// A change writes its parts first and then the root, only if nobody else has
// changed it since it was read. Former roots are kept in a bounded history, and
// parts that no kept root names are deleted.
package publish
