package local_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"net/url"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"ryelug/standin/local"
)

const streamed = 20 // streamed is the number of tokens that the printed line asks for.

var (
	anyPort    = netip.MustParseAddrPort("127.0.0.1:0")
	urlForm    = regexp.MustCompile(`http://[^\s']+`)
	headerForm = regexp.MustCompile(`-H '([^:]+): ([^']+)'`)
	bodyForm   = regexp.MustCompile(`-d '([^']+)'`)
)

// started is a running fleet with the curl lines that it printed.
type started struct {
	curls []string
	stop  context.CancelFunc
	ended <-chan error
}

// start runs a fleet until the test ends and reads what it prints.
func start(t *testing.T) *started {
	ctx, cancel := context.WithCancel(context.Background())
	log := logrus.New()
	log.SetOutput(io.Discard)
	printed, out := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		ended <- local.Run(ctx, local.Config{Callers: anyPort, Operator: anyPort, Log: log, Out: out})
		_ = out.Close()
	}()
	f := &started{stop: cancel, ended: ended}
	t.Cleanup(cancel)
	lines := bufio.NewScanner(printed)
	for lines.Scan() && !strings.HasPrefix(lines.Text(), "Interrupt") {
		switch line := strings.TrimSpace(lines.Text()); {
		case strings.HasPrefix(line, "curl "):
			f.curls = append(f.curls, line)
		case strings.HasPrefix(line, "-d "):
			f.curls[len(f.curls)-1] += line
		}
	}
	go func() { _, _ = io.Copy(io.Discard, printed) }()
	return f
}

// curl does what a printed line does; first is called at the first line of the answer.
// A repeat of a keyed call that comes before the first outcome is recorded is told to
// come back, and does.
func curl(t *testing.T, line string, first func()) string {
	for {
		status, text := send(t, line, first)
		if status != fasthttp.StatusConflict {
			is.New(t).Equal(status, fasthttp.StatusOK)
			return text
		}
		is.New(t).True(strings.Contains(text, `"name":"key_in_progress"`))
		time.Sleep(100 * time.Millisecond)
	}
}

// send sends one request as a printed line says and returns the status and the lines of the answer.
func send(t *testing.T, line string, first func()) (status int, answer string) {
	is := is.New(t)
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI(urlForm.FindString(line))
	for _, header := range headerForm.FindAllStringSubmatch(line, -1) {
		req.Header.Set(header[1], header[2])
	}
	if body := bodyForm.FindStringSubmatch(line); body != nil {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString(body[1])
	}
	client := fasthttp.Client{StreamResponseBody: true}
	is.NoErr(client.Do(&req, &resp))
	defer func() { _ = resp.CloseBodyStream() }()
	var text strings.Builder
	for lines := bufio.NewScanner(resp.BodyStream()); lines.Scan(); first = func() {} {
		first()
		text.WriteString(lines.Text() + "\n")
	}
	return resp.StatusCode(), text.String()
}

func checkWhole(t *testing.T, answer string) {
	t.Helper()
	is := is.New(t)
	is.Equal(strings.Count(answer, `"content":"`), streamed+1) // The first event has the role and no text.
	is.True(strings.HasSuffix(answer, "data: [DONE]\n\n"))
}

func TestRun(t *testing.T) {
	f := start(t)
	is.New(t).Equal(len(f.curls), 3)
	chat, call, counters := f.curls[0], f.curls[1], f.curls[2]
	t.Run("the printed lines work", func(t *testing.T) {
		is := is.New(t)
		checkWhole(t, curl(t, chat, func() {}))
		receipt := curl(t, call, func() {})
		is.True(strings.Contains(receipt, `"number":1`))
		is.Equal(curl(t, call, func() {}), receipt) // The key makes it run once.
		var read map[string]any
		is.NoErr(json.Unmarshal([]byte(curl(t, counters, func() {})), &read))
		is.True(read["cells"] != nil)
	})
	t.Run("an interrupt cuts no answer and frees the ports", func(t *testing.T) {
		is := is.New(t)
		checkWhole(t, curl(t, chat, f.stop))
		is.NoErr(<-f.ended)
		for _, line := range f.curls {
			address, err := url.Parse(urlForm.FindString(line))
			is.NoErr(err)
			listener, err := net.Listen("tcp", address.Host)
			is.NoErr(err)
			listener.Close()
		}
	})
}
