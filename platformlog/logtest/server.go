package logtest

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/platformlog/logwire"
)

const (
	// hangLimit bounds the time for which the server holds a call unanswered.
	hangLimit = 30 * time.Second

	maxLongPoll      = 60 * time.Second
	maxRecordsOfRead = 10000
)

// Server serves a Log over HTTP as docs/LOG-PROTOCOL.md states, with a control
// endpoint at /control.
type Server struct {
	log  *Log
	http *fasthttp.Server
}

// NewServer returns a server of log.
func NewServer(log *Log) *Server {
	s := &Server{log: log}
	s.http = &fasthttp.Server{
		Handler:                       s.handle,
		MaxRequestBodySize:            2 * logwire.MaxPayloadBytes,
		NoDefaultServerHeader:         true,
		NoDefaultDate:                 true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: true,
		CloseOnShutdown:               true,
	}
	return s
}

// Serve answers connections of listener until Shutdown is called.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(listener)
}

// Shutdown stops the server; calls under way end with the context at the
// latest.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.URI().PathOriginal())
	if stream, ok := logwire.StreamOf(path); ok {
		s.handleStream(ctx, platformlog.Stream(stream))
		return
	}
	switch path {
	case "/control":
		s.handleControl(ctx)
	case "/control/stats":
		writeJSON(ctx, s.log.Stats())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) handleStream(ctx *fasthttp.RequestCtx, stream platformlog.Stream) {
	switch {
	case ctx.IsPost():
		s.handleAppend(ctx, stream)
	case ctx.IsGet():
		s.handleRead(ctx, stream)
	default:
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
}

func (s *Server) handleAppend(ctx *fasthttp.RequestCtx, stream platformlog.Stream) {
	limit, cancel := context.WithTimeout(context.Background(), hangLimit)
	defer cancel()
	offset, err := s.log.Append(limit, stream, ctx.PostBody())
	var lost *platformlog.UnknownOutcomeError
	switch {
	case err == nil:
		writeJSON(ctx, logwire.AppendAnswer{Offset: uint64(offset)})
	case errors.As(err, &lost):
		closeUnanswered(ctx)
	case errors.Is(err, ErrAppendRate):
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
	case errors.Is(err, ErrPayloadSize):
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	default:
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (s *Server) handleRead(ctx *fasthttp.RequestCtx, stream platformlog.Stream) {
	query, err := parseQuery(ctx.QueryArgs())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	limit, cancel := context.WithTimeout(context.Background(), query.wait+hangLimit)
	defer cancel()
	batch, err := s.log.ReadWait(limit, stream, query.from, query.limit, query.wait)
	var gap *platformlog.GapError
	var refused *platformlog.UnavailableError
	switch {
	case err == nil:
		writeBatch(ctx, batch)
	case errors.As(err, &gap):
		writeJSON(ctx, logwire.GapAnswer{Earliest: uint64(gap.Earliest)})
		ctx.SetStatusCode(fasthttp.StatusGone)
	case errors.As(err, &refused):
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default:
		closeUnanswered(ctx)
	}
}

func (s *Server) handleControl(ctx *fasthttp.RequestCtx) {
	if ctx.IsPut() {
		var c Control
		if err := json.Unmarshal(ctx.PostBody(), &c); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		s.log.SetFaults(c.Faults())
	}
	writeJSON(ctx, ControlOf(s.log.Faults()))
}

// closeUnanswered closes the connection without an answer.
func closeUnanswered(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}
