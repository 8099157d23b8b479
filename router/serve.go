package router

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/core/config"
	"ryelug/core/intake"
	"ryelug/core/result"
	"ryelug/io/caller"
	"ryelug/io/header"
	"ryelug/router/directory"
	"ryelug/router/request"
)

// defaultRetryAfter is the Retry-After of a refusal with HTTP status 503, unless the router's load suggests
// another one.
const defaultRetryAfter = time.Second

// Serve implements caller.Handler: it resolves the request's team and route, refuses it if the router is
// overloaded or shutting down, and otherwise runs it.
func (r *Router) Serve(ctx context.Context, req *caller.Request, w caller.Writer) {
	if !r.beginRequest() {
		r.refuse(w, req, &request.Route{}, result.ShuttingDown)
		return
	}
	defer r.requests.Done()
	route, code := r.resolve(req)
	if code != result.OK {
		r.refuse(w, req, &route, code)
		return
	}
	if verdict := r.admission.Enter(time.Now(), arrival(&route, req)); verdict != intake.Serve {
		r.send(w, r.refuseForLoad(req, &route, verdict))
		return
	}
	defer r.admission.Leave(route.Team)
	r.runner.Serve(ctx, route, req, w)
}

// refuse refuses a request that has not been sent to any endpoint.
func (r *Router) refuse(w caller.Writer, req *caller.Request, route *request.Route, code result.Code) {
	r.send(w, r.refusal(req, route, code))
}

// send writes a refusal to the caller; a failure is only logged, since the caller has gone then.
func (r *Router) send(w caller.Writer, refusal caller.Refusal) {
	if err := w.Refuse(refusal); err != nil {
		r.log.WithError(err).Debug("A refusal did not reach its caller.")
	}
}

// beginRequest adds a request to those that the shutdown waits for; it returns false once the router accepts none.
func (r *Router) beginRequest() bool {
	r.closedMu.Lock()
	defer r.closedMu.Unlock()
	if r.closed {
		return false
	}
	r.requests.Add(1)
	return true
}

// shed implements caller.Config.Shed: it refuses a request for overload or the shutdown before anything is set up for it,
// which costs the least. Requests that fail for another reason are left to Serve.
func (r *Router) shed(req *caller.Request) (refusal caller.Refusal, refused bool) {
	if r.isClosed() {
		return r.refusal(req, &request.Route{}, result.ShuttingDown), true
	}
	if !r.admission.MayReject(time.Now()) {
		return refusal, false
	}
	route, code := r.resolve(req)
	if code != result.OK {
		return refusal, false
	}
	verdict := r.admission.Precheck(time.Now(), arrival(&route, req))
	if verdict == intake.Serve {
		return refusal, false
	}
	return r.refuseForLoad(req, &route, verdict), true
}

// arrival returns the properties of a request on which admission decides.
func arrival(route *request.Route, req *caller.Request) *intake.Arrival {
	return &intake.Arrival{Cell: route.Pool, Team: route.Team, Cost: req.Hint}
}

// refuseForLoad counts and logs a request that admission refuses, and returns the refusal to send.
func (r *Router) refuseForLoad(req *caller.Request, route *request.Route, verdict intake.Verdict) caller.Refusal {
	code := result.Overloaded
	if verdict == intake.Ahead {
		code = result.TeamAhead
	}
	refusal := r.refusal(req, route, code)
	refusal.RetryAfter = r.admission.RetryAfter(time.Now(), verdict)
	return refusal
}

// refusal counts and logs a request that is refused before it was sent to an endpoint, and returns the refusal to
// send.
func (r *Router) refusal(req *caller.Request, route *request.Route, code result.Code) caller.Refusal {
	r.earlyLog.record(time.Now(), &earlyRefusal{request: req, route: route, code: code, generation: r.generation()})
	r.config.Counter.Refused(code)
	refusal := caller.Refusal{Code: code, NotRun: true}
	if info, _ := result.Lookup(code); info.Status == http.StatusServiceUnavailable {
		refusal.RetryAfter = defaultRetryAfter
	}
	return refusal
}

// panicked implements caller.Config.Panicked: it logs the panic of a request and counts an internal failure.
func (r *Router) panicked(p caller.Panic) {
	r.log.WithFields(logrus.Fields{"request": p.Request, "cause": p.Cause, "stack": string(p.Stack)}).Error("A request panicked.")
	r.config.Counter.Refused(result.InternalFailure)
}

// resolve finds the team and the route of a request; a code other than OK says why it is refused.
func (r *Router) resolve(req *caller.Request) (request.Route, result.Code) {
	d := r.directoryFor(req.Version)
	if d == nil {
		d = r.directory.Load()
	}
	if d == nil {
		return request.Route{}, result.NoConfiguration
	}
	if d.IsRegistered() {
		return r.resolveRegistered(d, req)
	}
	if r.isCutOff() {
		return request.Route{}, result.CutOff
	}
	team, ok := d.Team(req.Key)
	if !ok {
		return request.Route{}, result.Unauthorized
	}
	pool, idempotent, code := d.Find(directory.Lookup{
		Method: req.Method, Path: req.Path, Model: req.Model, Malformed: req.Malformed,
	})
	if code != result.OK {
		return request.Route{}, code
	}
	return request.Route{
		Team:           team,
		Pool:           cell.ID(pool.Name),
		Service:        pool.Kind == config.Service,
		Generation:     d.Generation,
		Idempotent:     idempotent,
		QueueTimeout:   pool.QueueTimeout,
		LongestRequest: pool.LongestRequest,
	}, result.OK
}

// maxGrantWait limits the wait for a dispatcher's decision on a request, in case none arrives.
const maxGrantWait = 2 * time.Second

// resolveRegistered finds the team and the route of a request, by its host and path, where the platform registers
// the endpoints.
func (r *Router) resolveRegistered(d *directory.Directory, req *caller.Request) (request.Route, result.Code) {
	found, ok := d.Route(req.Host, req.Path)
	if !ok {
		return request.Route{}, result.UnknownRoute
	}
	route := request.Route{
		Team:           cell.NoTeam,
		Idempotent:     found.Idempotent,
		QueueTimeout:   maxGrantWait,
		LongestRequest: found.Timeout,
		Verbatim:       true,
		Class:          found.Prefix,
		Generation:     d.Generation,
		Streams:        found.Streams,
		MaxSends:       found.MaxSends,
		Timeout:        found.Timeout,
		Objective:      found.Objective,
	}
	if !found.Public {
		if r.isCutOff() {
			return request.Route{}, result.CutOff
		}
		team, known := d.Team(req.Key)
		if known && req.Version > 0 {
			_, known = r.directory.Load().Team(req.Key) // A key that was taken away is not served by an older version.
		}
		if !known {
			return request.Route{}, result.Unauthorized
		}
		route.Team = team
		route.Header = []header.Field{{Name: d.TeamHeader(), Value: string(team)}}
	}
	pool, isEngine, ok := d.Pool(found)
	if !ok {
		return request.Route{}, result.NoCapacity
	}
	route.Pool, route.Service = pool, !isEngine
	return route, result.OK
}
