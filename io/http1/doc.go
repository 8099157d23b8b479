// Package http1 checks the heads of HTTP/1.1 answers before a parser reads them.
//
// The parsers of HTTP libraries are lenient: they accept status codes that do not exist and field names that are no tokens,
// and read them as something else. Each head is checked as bytes against RFC 9112 and RFC 9110, and an answer whose head
// breaks a rule is rejected as a whole.
package http1
