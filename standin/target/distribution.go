package target

import (
	"math"
	"math/rand/v2"
	"time"
)

// Distribution is the distribution of service times around their mean.
type Distribution string

// Distributions of the service time.
const (
	Constant    Distribution = "constant"
	Exponential Distribution = "exponential"
	LogNormal   Distribution = "lognormal"
)

// logNormalSigma gives a 99th percentile of about four times the mean.
const logNormalSigma = 0.8

// Valid reports whether d is one of the known distributions.
func (d Distribution) Valid() bool {
	return d == Constant || d == Exponential || d == LogNormal
}

// draw returns a random service time with the given mean.
func (d Distribution) draw(random *rand.Rand, mean time.Duration) time.Duration {
	switch d {
	case Exponential:
		return time.Duration(float64(mean) * random.ExpFloat64())
	case LogNormal:
		factor := math.Exp(logNormalSigma*random.NormFloat64() - logNormalSigma*logNormalSigma/2)
		return time.Duration(float64(mean) * factor)
	default:
		return mean
	}
}
