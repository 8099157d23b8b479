// Package result numbers every outcome that ryelug tells a caller or an operator.
//
// docs/RESULT_CODES.md holds the same table; a test keeps the two alike.
package result
