// Package report writes the measures of the benchmark as a table and as JSON.
package report
