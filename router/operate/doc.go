// Package operate carries out the operators' commands: it reads and changes the
// configuration of an environment and prints the outcome.
package operate
