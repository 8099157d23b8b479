package http1

import "strings"

// tokenBytes marks the bytes of which field names consist.
var tokenBytes = newTokenBytes()

func newTokenBytes() (table [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		table[b] = true
	}
	return table
}

// checkField checks the line of one field, without its line end, in a head of HTTP/1.0 or of HTTP/1.1.
func checkField(line []byte, isHTTP10 bool) error {
	if line[0] == ' ' || line[0] == '\t' {
		return newErrHead(RuleFolding, line)
	}
	length := 0
	for length < len(line) && tokenBytes[line[length]] {
		length++
	}
	if length == 0 || length == len(line) || line[length] != ':' {
		return newErrHead(RuleFieldName, line)
	}
	if !isText(line[length+1:]) {
		return newErrHead(RuleFieldValue, line)
	}
	if isHTTP10 && strings.EqualFold(string(line[:length]), "Transfer-Encoding") {
		return newErrHead(RuleChunks, line)
	}
	return nil
}
