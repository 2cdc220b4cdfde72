//go:build deps

// Package deps pins library versions until the first package imports them.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/alexflint/go-arg"
	_ "github.com/goccy/go-yaml"
	_ "github.com/leanovate/gopter"
	_ "github.com/valyala/fasthttp"
	_ "go.uber.org/zap"
	_ "golang.org/x/sync/errgroup"
)
