// Package operate implements the operators' commands that read or change the
// configuration of an environment in the platform, and prints their outcome. Errors
// that an operator can act on carry codes of package result.
package operate
