package endpoint

import (
	"fmt"
	"io"
	"time"

	"ryelug/core/holding"
	"ryelug/io/held"
)

// minCountedEventBytes is how far the size of an event must grow before its bytes are counted again as buffered.
// Most events are shorter and cost no update of the shared counter.
const minCountedEventBytes = 4 << 10

// buffered counts the bytes buffered for one answer or event, and adds them to the client's total.
type buffered struct {
	client *Client
	bytes  int64
	copies int64           // copies is how often the buffered bytes are held; zero means once.
	holder *holding.Holder // holder holds the bytes of the budget; nil until more than freeBytes are buffered.
	taken  int64           // taken is the number of bytes taken from the budget.
}

const (
	freeBytes  = 16 << 10        // freeBytes is the size up to which an answer or event takes nothing from the budget.
	takenBytes = 64 << 10        // takenBytes is the least number of bytes that are taken from the budget at a time.
	budgetWait = 3 * time.Second // budgetWait is how long bytes of the budget are awaited; the endpoint waits meanwhile.
)

// take takes bytes from the budget for what is buffered beyond freeBytes.
func (h *buffered) take() error {
	budget := h.client.config.Budget
	if budget == nil || h.bytes <= freeBytes || h.bytes <= h.taken {
		return nil
	}
	if h.holder == nil {
		h.holder = &holding.Holder{Kind: holding.Responses, OnlyStalled: true}
	}
	more := max(takenBytes, h.bytes-h.taken)
	if held.Take(budget, h.holder, max(1, h.copies)*more, budgetWait) != holding.None {
		return h.client.newErrTooLong("no memory for an answer of more than %d bytes", h.bytes)
	}
	h.taken += more
	return nil
}

// add counts more buffered bytes, and returns an error if the client's total exceeds MaxBuffered.
func (h *buffered) add(count int) error {
	h.bytes += int64(count)
	if total := h.client.buffered.Add(int64(count)); total > int64(h.client.config.MaxBuffered) {
		return h.client.newErrTooLong("answers and events being read take %d bytes together, %d are allowed", total, h.client.config.MaxBuffered)
	}
	return h.take()
}

// copiesPerEvent is the number of buffers in which an event is held: a long line, its data and its bytes as received.
const copiesPerEvent = 3

// releaseCount takes the counted bytes off the client's total. The bytes of the budget stay taken, because the buffers of a
// stream are reused for its next event.
func (h *buffered) releaseCount() {
	h.client.buffered.Add(-h.bytes)
	h.bytes = 0
}

// release takes the counted bytes off the client's total and releases those of the budget.
func (h *buffered) release() {
	h.releaseCount()
	if h.holder != nil {
		h.client.config.Budget.End(h.holder)
		h.taken = 0
	}
}

// countingReader counts the bytes read as buffered, and fails if they exceed the client's limit.
type countingReader struct {
	reader   io.Reader
	buffered *buffered
}

// Read implements io.Reader.
func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if full := r.buffered.add(n); full != nil {
		return n, full
	}
	return n, err
}

// newErrTooLong counts an answer that was given up for its size, and returns the formatted error.
func (c *Client) newErrTooLong(format string, args ...any) error {
	c.tooLongCount.Add(1)
	return fmt.Errorf(format, args...)
}

// OversizedAnswers returns the number of answers given up since the client was created because they exceeded MaxBody,
// MaxEvent or MaxBuffered.
func (c *Client) OversizedAnswers() int64 { return c.tooLongCount.Load() }
