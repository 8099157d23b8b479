package router

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/cell"
	"ryelug/core/config"
	"ryelug/core/result"
	"ryelug/io/caller"
	"ryelug/router/request"
)

// chatPath is the route whose body names a model.
const chatPath = "/v1/chat/completions"

// comeBack is when a caller that this router can't serve should try again.
const comeBack = time.Second

// Serve implements caller.Handler.
func (r *Router) Serve(ctx context.Context, req *caller.Request, w caller.Writer) {
	if !r.enter() {
		r.refuse(w, result.ShuttingDown)
		return
	}
	defer r.requests.Done()
	route, code := r.resolve(req)
	if code != result.OK {
		r.refuse(w, code)
		return
	}
	r.runner.Serve(ctx, route, req, w)
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

// refuse sends a refusal of a request that was not run.
func (r *Router) refuse(w caller.Writer, code result.Code) {
	r.config.Counter.Refused(code)
	refusal := caller.Refusal{Code: code, NotRun: true}
	if info, _ := result.Lookup(code); info.Status == http.StatusServiceUnavailable {
		refusal.RetryAfter = comeBack
	}
	if err := w.Refuse(refusal); err != nil {
		r.log.WithError(err).Debug("A refusal did not reach its caller.")
	}
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
	if r.coordinator.cutOff.Load() {
		return request.Route{}, result.CutOff
	}
	team, ok := d.team(req.Key)
	if !ok {
		return request.Route{}, result.Unauthorized
	}
	pool, idempotent, code := d.find(req)
	if code != result.OK {
		return request.Route{}, code
	}
	return request.Route{
		Team:           team,
		Pool:           cell.ID(pool.Name),
		Service:        pool.Kind == config.Service,
		Idempotent:     idempotent,
		QueueTimeout:   pool.QueueTimeout,
		LongestRequest: pool.LongestRequest,
	}, result.OK
}

// find returns the pool of a request and whether the route is idempotent.
func (d *directory) find(req *caller.Request) (*config.Pool, bool, result.Code) {
	path, _, _ := strings.Cut(req.Path, "?")
	route, declared := d.routes[path]
	if declared && route.Pool != "" {
		return d.pools[cell.ID(route.Pool)], route.Idempotent, result.OK
	}
	if !declared && path != chatPath {
		return nil, false, result.UnknownRoute
	}
	if req.Method != http.MethodPost {
		return nil, false, result.UnknownRoute
	}
	if req.Malformed {
		return nil, false, result.BadRequest
	}
	pool, ok := d.models[req.Model]
	if !ok {
		return nil, false, result.UnknownModel
	}
	return pool, !declared || route.Idempotent, result.OK
}
