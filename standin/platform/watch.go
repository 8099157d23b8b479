package platform

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"ryelug/io/platform"
)

// watch streams the changes of a collection, one JSON event a line.
func (s *Server) watch(ctx *fasthttp.RequestCtx, of collection) {
	from := string(ctx.QueryArgs().Peek("resourceVersion"))
	version, err := strconv.ParseUint(from, 10, 64)
	if err != nil && from != "" {
		fail(ctx, http.StatusUnprocessableEntity, reasonInvalid)
		return
	}
	if _, kept := s.store.since(of, version); from != "" && !kept {
		fail(ctx, http.StatusGone, platform.ReasonExpired)
		return
	}
	w := &watcher{server: s, of: of, version: version, number: s.control.openWatch()}
	ctx.SetContentType("application/json;stream=watch")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStreamWriter(func(out *bufio.Writer) {
		w.out = out
		if from == "" {
			w.listed()
		}
		var err error
		for err == nil {
			err = w.next()
		}
	})
}

// watcher is one open watch.
type watcher struct {
	server  *Server
	of      collection
	version uint64
	number  uint64
	out     *bufio.Writer
}

// listed starts a watch without a version with all present objects.
func (w *watcher) listed() {
	items, version := w.server.store.list(w.of, time.Now())
	for _, item := range items {
		if w.send(platform.Added, item) != nil {
			return
		}
	}
	w.version, _ = strconv.ParseUint(version, 10, 64)
}

// next sends what has changed, or waits for a change or the time of a bookmark.
func (w *watcher) next() error {
	news, kept := w.server.store.since(w.of, w.version)
	if !kept || w.server.control.present().Down {
		return errGone
	}
	for _, one := range news.changes {
		if err := w.send(one.event, one.object); err != nil {
			return err
		}
	}
	w.version = news.version
	timer := time.NewTimer(bookmarkEvery)
	defer timer.Stop()
	select {
	case <-news.more:
		return nil
	case <-w.server.done:
		return errGone
	case <-timer.C:
		return w.send(platform.Bookmark, platform.Wire{Metadata: platform.Metadata{ResourceVersion: strconv.FormatUint(w.version, 10)}})
	}
}

func (w *watcher) send(event platform.EventType, object platform.Wire) error {
	if w.server.control.isSilent(w.number) {
		return nil
	}
	data, err := json.Marshal(object)
	if err != nil {
		return err
	}
	line, err := json.Marshal(platform.WireEvent{Type: event, Object: data})
	if err != nil {
		return err
	}
	if _, err := w.out.Write(append(line, '\n')); err != nil {
		return err
	}
	return w.out.Flush()
}
