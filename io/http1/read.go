package http1

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// ReadResponse checks the head of an answer, discards interim answers before it, and reads the answer as resp.ReadLimitBody
// does. The whole head must fit into the buffer of r. It returns an *ErrHead if a head breaks a rule.
func ReadResponse(r *bufio.Reader, resp *fasthttp.Response, maxBody int) error {
	if err := discardInterim(r); err != nil {
		return err
	}
	return resp.ReadLimitBody(r, maxBody)
}

// ReadHeader is like ReadResponse, but leaves the body of the answer in r.
func ReadHeader(r *bufio.Reader, header *fasthttp.ResponseHeader) error {
	if err := discardInterim(r); err != nil {
		return err
	}
	return header.Read(r)
}

// discardInterim reads ahead until r has the whole head of the final answer, checks each head, and discards interim answers.
func discardInterim(r *bufio.Reader) error {
	var heads scanner
	checked := 0 // Length of the lines of the current head that were checked, in bytes.
	for {
		ahead, err := r.Peek(r.Buffered())
		if err != nil {
			return err
		}
		n, hasEnded, err := heads.scan(ahead[checked:])
		if err != nil {
			return err
		}
		checked += n
		switch {
		case !hasEnded:
			if err := readMore(r); err != nil {
				return err
			}
		case !heads.isInterim():
			return nil
		default:
			if _, err := r.Discard(checked); err != nil {
				return err
			}
			checked = 0
			if err := heads.next(); err != nil {
				return err
			}
		}
	}
}

// readMore waits until r has buffered at least one more byte.
func readMore(r *bufio.Reader) error {
	buffered := r.Buffered()
	_, err := r.Peek(buffered + 1)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, bufio.ErrBufferFull):
		return fmt.Errorf("head of answer is longer than %d bytes", r.Size())
	case errors.Is(err, io.EOF) && buffered > 0:
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("reading the head of an answer: %w", err)
}
