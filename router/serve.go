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

// comeBack is when a caller that this router can't serve should try again.
const comeBack = time.Second

// Serve implements caller.Handler.
func (r *Router) Serve(ctx context.Context, req *caller.Request, w caller.Writer) {
	if !r.enter() {
		r.refuse(w, req, &request.Route{}, result.ShuttingDown)
		return
	}
	defer r.requests.Done()
	route, code := r.resolve(req)
	if code != result.OK {
		r.refuse(w, req, &route, code)
		return
	}
	if verdict := r.desk.Enter(time.Now(), arrival(&route, req)); verdict != intake.Serve {
		r.send(w, r.turnAway(req, &route, verdict))
		return
	}
	defer r.desk.Leave(route.Team)
	r.runner.Serve(ctx, route, req, w)
}

// refuse sends the refusal of a request that was not run.
func (r *Router) refuse(w caller.Writer, req *caller.Request, route *request.Route, code result.Code) {
	r.send(w, r.refusal(req, route, code))
}

func (r *Router) send(w caller.Writer, refusal caller.Refusal) {
	if err := w.Refuse(refusal); err != nil {
		r.log.WithError(err).Debug("A refusal did not reach its caller.")
	}
}

// enter counts a request in, unless the router takes no more.
func (r *Router) enter() bool {
	r.gate.Lock()
	defer r.gate.Unlock()
	if r.closed {
		return false
	}
	r.requests.Add(1)
	return true
}

// shed refuses a request that this router does not bear now, at the least cost.
func (r *Router) shed(req *caller.Request) (refusal caller.Refusal, refused bool) {
	if !r.desk.MayRefuse(time.Now()) {
		return refusal, false
	}
	route, code := r.resolve(req)
	if code != result.OK {
		return refusal, false
	}
	verdict := r.desk.Refuses(time.Now(), arrival(&route, req))
	if verdict == intake.Serve {
		return refusal, false
	}
	return r.turnAway(req, &route, verdict), true
}

// arrival returns what the decision on a request goes by.
func arrival(route *request.Route, req *caller.Request) *intake.Arrival {
	return &intake.Arrival{Cell: route.Pool, Team: route.Team, Cost: req.Hint}
}

// turnAway counts and logs a request that the desk refuses, and returns its refusal.
func (r *Router) turnAway(req *caller.Request, route *request.Route, verdict intake.Verdict) caller.Refusal {
	code := result.Overloaded
	if verdict == intake.Ahead {
		code = result.TeamAhead
	}
	refusal := r.refusal(req, route, code)
	refusal.RetryAfter = r.desk.RetryAfter(time.Now(), verdict)
	return refusal
}

// refusal counts and logs the refusal of a request that was not run, and returns it.
func (r *Router) refusal(req *caller.Request, route *request.Route, code result.Code) caller.Refusal {
	r.early.refused(time.Now(), &earlyRefusal{request: req, route: route, code: code, generation: r.generation()})
	r.config.Counter.Refused(code)
	refusal := caller.Refusal{Code: code, NotRun: true}
	if info, _ := result.Lookup(code); info.Status == http.StatusServiceUnavailable {
		refusal.RetryAfter = comeBack
	}
	return refusal
}

// panicked logs and counts a request that ended by a panic.
func (r *Router) panicked(p caller.Panic) {
	r.log.WithFields(logrus.Fields{"request": p.Request, "cause": p.Cause, "stack": string(p.Stack)}).Error("A request panicked.")
	r.config.Counter.Refused(result.InternalFailure)
}

// resolve finds the team and the route of a request.
func (r *Router) resolve(req *caller.Request) (request.Route, result.Code) {
	d := r.directory.Load()
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

// grantWait bounds the wait for a dispatcher's word on a request, should it not come.
const grantWait = 2 * time.Second

// resolveRegistered finds the route of a request by its host and path.
func (r *Router) resolveRegistered(d *directory.Directory, req *caller.Request) (request.Route, result.Code) {
	found, ok := d.Route(req.Host, req.Path)
	if !ok {
		return request.Route{}, result.UnknownRoute
	}
	route := request.Route{
		Team:           cell.NoTeam,
		Idempotent:     found.Idempotent,
		QueueTimeout:   grantWait,
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
