package caller

import (
	"runtime/debug"

	"github.com/valyala/fasthttp"

	"ryelug/core/result"
	"ryelug/io/handover"
)

// screen decodes a request and asks Shed whether to refuse it. It recovers from a panic of these, as fasthttp does not;
// the request is then refused, since no handler has seen it.
func (s *Server) screen(rc *fasthttp.RequestCtx, body []byte) (req *Request, refusal Refusal, refused bool) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if req == nil {
			req = &Request{}
		}
		s.config.Panicked(Panic{Request: req.ID, Cause: cause, Stack: debug.Stack()})
		refusal, refused = Refusal{Code: result.InternalFailure, NotRun: true}, true
	}()
	req = s.request(rc, body)
	req.Version = handedOverVersion(rc)
	refusal, refused = s.config.Shed(req)
	return req, refusal, refused
}

// handedOverVersion returns the version that the router had which handed the connection over; zero if none did.
func handedOverVersion(rc *fasthttp.RequestCtx) uint64 {
	if link, ok := rc.Conn().(*conn); ok {
		if stream, ok := link.Conn.(*handover.Stream); ok {
			return stream.Version()
		}
	}
	return 0
}

// decodeRefused decodes a request that is refused; it returns nil if that panics.
func (s *Server) decodeRefused(rc *fasthttp.RequestCtx) (req *Request) {
	defer func() {
		if cause := recover(); cause != nil {
			s.config.Panicked(Panic{Cause: cause, Stack: debug.Stack()})
			req = nil
		}
	}()
	return s.request(rc, nil)
}
