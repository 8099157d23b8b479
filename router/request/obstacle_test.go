package request_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"ryelug/io/caller"
	"ryelug/router/request"
)

// loggedObstacle runs a request whose only endpoint never answers, and returns what the log says of its end.
func loggedObstacle(t *testing.T, config request.Config, route request.Route) logrus.Fields {
	t.Helper()
	log, hook := logtest.NewNullLogger()
	config.Endpoints, config.Grants, config.Log = &deadEndpoints{}, &fakeGrants{valid: time.Second, endpoints: []grantedEndpoint{noAddress{}}}, log
	config.BackoffStart = time.Millisecond
	req := &caller.Request{Received: time.Now()}
	request.New(config).Serve(t.Context(), route, req, &refusalRecorder{})
	return hook.LastEntry().Data
}

func TestLogSaysWhyBrokenRequestIsNotRetried(t *testing.T) {
	cases := []struct {
		obstacle string
		sends    int
		config   request.Config
		route    request.Route
	}{
		{"not_idempotent", 1, request.Config{}, request.Route{Timeout: time.Minute}},
		{"sends_used", 2, request.Config{}, request.Route{Idempotent: true, MaxSends: 2, Timeout: time.Minute}},
		{"attempts_used", 4, request.Config{}, request.Route{Idempotent: true, Timeout: time.Minute}},
		{"no_time_left", 1, request.Config{}, request.Route{Idempotent: true, Timeout: time.Microsecond}},
		{"retry_budget_empty", 1, request.Config{RetryBurst: 0.5, RetryRatio: 1e-9}, request.Route{Idempotent: true, Timeout: time.Minute}},
	}
	for _, c := range cases {
		t.Run(c.obstacle, func(t *testing.T) {
			is := is.New(t)
			fields := loggedObstacle(t, c.config, c.route)
			is.Equal(fields["no_retry"], c.obstacle)
			is.Equal(fields["sends"], c.sends)
			_, ok := fields["left_ms"].(int64)
			is.True(ok)
		})
	}
}
