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
	// hangLimit is the longest time that the server leaves a call without a
	// response.
	hangLimit = 30 * time.Second

	maxLongPoll    = 60 * time.Second
	maxReadRecords = 10000
)

// Server serves a Log over the HTTP protocol of docs/LOG-PROTOCOL.md, with a
// control endpoint at /control.
type Server struct {
	log  *Log
	http *fasthttp.Server
}

// NewServer returns a server for log.
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

// Serve accepts connections from listener until Shutdown is called.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(listener)
}

// Shutdown stops the server. It waits for calls in progress until ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.ShutdownWithContext(ctx)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.URI().PathOriginal())
	if stream, ok := logwire.StreamFromPath(path); ok {
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
	var unknown *platformlog.UnknownOutcomeError
	switch {
	case err == nil:
		writeJSON(ctx, logwire.AppendResponse{Offset: uint64(offset)})
	case errors.As(err, &unknown):
		closeWithoutResponse(ctx)
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
	var truncated *platformlog.TruncatedError
	var unavailable *platformlog.UnavailableError
	switch {
	case err == nil:
		writeBatch(ctx, batch)
	case errors.As(err, &truncated):
		writeJSON(ctx, logwire.TruncatedResponse{Earliest: uint64(truncated.Earliest)})
		ctx.SetStatusCode(fasthttp.StatusGone)
	case errors.As(err, &unavailable):
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default:
		closeWithoutResponse(ctx)
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

// closeWithoutResponse closes the connection without sending a response.
func closeWithoutResponse(ctx *fasthttp.RequestCtx) {
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
