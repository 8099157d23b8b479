package http1

import (
	"bytes"
	"net/http"
)

// maxInterim is the largest number of interim answers before the final one.
const maxInterim = 100

// scanner checks the heads of one answer, those of interim answers included, line by line. Its zero value expects a status line.
type scanner struct {
	status   int  // status is that of the current head; zero before its status line.
	isHTTP10 bool // isHTTP10 is set if the current head is one of HTTP/1.0.
	interims int  // interims counts the heads of interim answers that have ended.
}

// scan checks the complete lines at the start of data, up to the end of a head, and returns their length in bytes and whether
// the head has ended. After the head of an interim answer it expects another head.
func (s *scanner) scan(data []byte) (n int, hasEnded bool, err error) {
	for {
		end := bytes.IndexByte(data[n:], '\n')
		if end < 0 {
			return n, false, nil
		}
		line := data[n : n+end]
		n += end + 1
		if hasEnded, err = s.checkLine(line); hasEnded || err != nil {
			return n, hasEnded, err
		}
	}
}

// checkLine checks one line without its LF and reports whether it ends the head.
func (s *scanner) checkLine(line []byte) (isEnd bool, err error) {
	if len(line) == 0 || line[len(line)-1] != '\r' {
		return false, newErrHead(RuleLineEnd, line)
	}
	line = line[:len(line)-1]
	switch {
	case s.status == 0:
		s.isHTTP10 = bytes.HasPrefix(line, []byte("HTTP/1.0 "))
		s.status, err = parseStatusLine(line)
		return false, err
	case len(line) == 0:
		return true, nil
	}
	return false, checkField(line, s.isHTTP10)
}

// isInterim reports whether another head follows the current one.
func (s *scanner) isInterim() bool { return s.status < http.StatusOK }

// next expects the head after that of an interim answer.
func (s *scanner) next() error {
	s.status = 0
	s.interims++
	if s.interims > maxInterim {
		return newErrHead(RuleInterim, nil)
	}
	return nil
}

const (
	versionLength = len("HTTP/1.1 ")
	statusLength  = len("200")
	maxStatus     = 599
)

// parseStatusLine checks a status line and returns its status code.
func parseStatusLine(line []byte) (int, error) {
	if len(line) < versionLength+statusLength {
		return 0, newErrHead(RuleStatusLine, line)
	}
	version, code, reason := line[:versionLength], line[versionLength:versionLength+statusLength], line[versionLength+statusLength:]
	status := 0
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return 0, newErrHead(RuleStatusLine, line)
		}
		status = 10*status + int(digit-'0')
	}
	isVersion := string(version) == "HTTP/1.1 " || string(version) == "HTTP/1.0 "
	if !isVersion || (len(reason) > 0 && reason[0] != ' ') || !isText(reason) {
		return 0, newErrHead(RuleStatusLine, line)
	}
	switch {
	case status < http.StatusContinue || status > maxStatus:
		return 0, newErrHead(RuleStatusCode, line)
	case status == http.StatusSwitchingProtocols:
		return 0, newErrHead(RuleUpgrade, line)
	}
	return status, nil
}

// isText reports whether text has no control byte but tabs.
func isText(text []byte) bool {
	for _, b := range text {
		if (b < ' ' && b != '\t') || b == 0x7f {
			return false
		}
	}
	return true
}
