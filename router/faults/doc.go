// Package faults contains only tests: a whole fleet under load has one fault at a time.
package faults
