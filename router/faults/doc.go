// Package faults has tests alone: a whole fleet under load, and one fault at a time.
package faults
