// Package faultpairs has tests alone: a whole fleet under load with two faults at
// once, and one whose engines stay cold.
package faultpairs
