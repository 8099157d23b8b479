// Package faultpairs contains only tests: a whole fleet under load has two faults at
// once, or one fault while its engines stay cold. A cold engine accepts fewer requests
// than a warm one, as after a start.
package faultpairs
