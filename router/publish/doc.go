// Package publish changes the configuration document of an environment in the
// platform's store. Operators' commands use it.
//
// A document is stored as parts named by their hashes, and a root object names all
// parts of one generation. A change writes its new parts first and then replaces the
// root, which fails if another change has replaced the root since it was read.
// Former roots are kept in a bounded history, and parts that neither the root in
// force nor a kept one names are deleted.
package publish
