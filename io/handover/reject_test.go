package handover_test

import (
	"io"
	"testing"
	"time"
)

// Guards against a stream that counts as unread although the other router read some of it, which would let its request run twice.
func TestOnlyUnreadStreamsAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(p *pair, theirs io.ReadCloser)
		want bool
	}{
		"closed unread":           {func(p *pair, theirs io.ReadCloser) { p.NoErr(theirs.Close()) }, true},
		"closed after one byte":   {func(p *pair, theirs io.ReadCloser) { readByte(p, theirs); p.NoErr(theirs.Close()) }, false},
		"the link is lost unread": {func(p *pair, _ io.ReadCloser) { p.dialer.Close() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			withPair(t, "a key", func(p *pair) {
				ours, theirs := p.open(0)
				_, err := ours.Write([]byte("a request"))
				p.NoErr(err)
				time.Sleep(10 * time.Millisecond)
				c.end(p, theirs)
				_, err = ours.Read(make([]byte, 1))
				p.True(err != nil)
				p.Equal(ours.IsRejected(), c.want)
			})
		})
	}
}

func readByte(p *pair, from io.Reader) {
	p.Helper()
	_, err := io.ReadFull(from, make([]byte, 1))
	p.NoErr(err)
}
