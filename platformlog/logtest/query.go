package logtest

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/platformlog/logwire"
)

// readQuery holds the parameters of a read.
type readQuery struct {
	from  platformlog.Offset
	limit int
	wait  time.Duration
}

func parseQuery(args *fasthttp.Args) (readQuery, error) {
	from, err := args.GetUint(logwire.QueryFrom)
	if err != nil {
		return readQuery{}, fmt.Errorf("query parameter %s: %w; pass an offset", logwire.QueryFrom, err)
	}
	limit := args.GetUintOrZero(logwire.QueryLimit)
	if limit == 0 || limit > maxReadRecords {
		limit = maxReadRecords
	}
	wait := time.Duration(args.GetUintOrZero(logwire.QueryWait)) * time.Millisecond
	return readQuery{from: platformlog.Offset(from), limit: limit, wait: min(wait, maxLongPoll)}, nil
}

func writeBatch(ctx *fasthttp.RequestCtx, batch platformlog.Batch) {
	wire := logwire.Batch{
		Earliest: uint64(batch.Earliest),
		Next:     uint64(batch.Next),
		Records:  make([]logwire.Record, len(batch.Records)),
	}
	for i, r := range batch.Records {
		wire.Records[i] = logwire.Record{Offset: uint64(r.Offset), Time: r.Time, Payload: r.Payload}
	}
	body, err := wire.MarshalMsg(nil)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Header.SetContentType(logwire.ContentTypeBatch)
	ctx.SetBody(body)
}
