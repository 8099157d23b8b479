// Package result defines a numeric code for every outcome that ryelug reports to a caller or an operator.
//
// docs/RESULT_CODES.md holds the same table; a test compares the two.
package result
