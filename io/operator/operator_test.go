package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"ryelug/core/result"
	"ryelug/io/operator"
)

func TestServer(t *testing.T) {
	is := is.New(t)
	vars := operator.NewVars()
	vars.Finished(result.OK)
	vars.Finished(result.TeamQueueFull)
	vars.Add(operator.Retries, "grant_expired", 7)
	vars.Gauge("queue", func() any { return map[string]int{"team-a": 3} })
	health := operator.Health{NoConfiguration: true}
	lis := fasthttputil.NewInmemoryListener()
	log := operator.NewLog(operator.LogConfig{Level: logrus.InfoLevel, Output: &bytes.Buffer{}})
	server := operator.New(operator.Config{Listener: lis, Vars: vars, Health: func() operator.Health { return health }, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- server.Run(ctx) }()
	client := fasthttp.Client{Dial: func(string) (net.Conn, error) { return lis.Dial() }}
	get := func(path string) (int, map[string]any) {
		status, body, err := client.Get(nil, "http://operator"+path)
		is.NoErr(err)
		var value map[string]any
		if len(body) > 0 {
			is.NoErr(json.Unmarshal(body, &value))
		}
		return status, value
	}
	_, got := get("/debug/vars")
	is.Equal(got["requests"], map[string]any{"ok": 1.0, "team_queue_full": 1.0})
	is.Equal(got["refusals"].(map[string]any)["team_queue_full"], 1.0)
	is.Equal(got["refusals"].(map[string]any)["cut_off"], 0.0) // A counter for each reason is there from the start.
	is.Equal(got["retries"], map[string]any{"grant_expired": 7.0})
	is.Equal(got["queue"], map[string]any{"team-a": 3.0})
	is.True(got["memstats"] != nil)

	for _, unhealthy := range []operator.Health{{NoConfiguration: true}, {CutOff: true, Generation: 4}, {Leaving: true}} {
		health = unhealthy
		status, body := get("/healthz")
		is.Equal(status, 503)
		is.Equal(body["healthy"], false)
	}
	health = operator.Health{Generation: 5}
	status, body := get("/healthz")
	is.Equal(status, 200)
	is.Equal(body["generation"], 5.0)
	status, _ = get("/none")
	is.Equal(status, 404)
	cancel()
	is.NoErr(<-ended)
}

func TestLog(t *testing.T) {
	for format, want := range map[string]string{
		"text": `level=info msg="peer: The link is up." router=b/1`,
		"json": `"msg":"peer: The link is up.","router":"b/1"`,
	} {
		t.Run(format, func(t *testing.T) {
			var out bytes.Buffer
			log := operator.NewLog(operator.LogConfig{Level: logrus.InfoLevel, Format: format, Output: &out})
			part := operator.Part(log, operator.PeerPart).WithField("router", "b/1")
			part.Debug("Not shown.")
			part.Info("The link is up.")
			if !strings.Contains(out.String(), want) || strings.Contains(out.String(), "Not shown") {
				t.Errorf("log is %s", out.String())
			}
		})
	}
}
