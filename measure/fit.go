package measure

import (
	"fmt"
	"math"
)

// MinSizes is the minimum number of distinct sizes for fitting a line.
const MinSizes = 4

// Line is a straight line through measured points.
type Line struct {
	Slope     float64 // increase of the value per unit of size
	Intercept float64 // value at size zero
	Residual  float64 // root mean square distance of the values from the line
	MinSize   float64 // smallest measured size
	MaxSize   float64 // largest measured size
}

// TooFewSizesError reports that a series has too few distinct sizes for a line.
type TooFewSizesError struct{ Sizes int }

func (e *TooFewSizesError) Error() string {
	return fmt.Sprintf("%d distinct sizes, but a line needs %d; measure more sizes", e.Sizes, MinSizes)
}

// Fit returns the least-squares line of the points. It returns a *TooFewSizesError
// if they have fewer than MinSizes distinct sizes.
func Fit(points []Point) (Line, error) {
	series := Series{Points: points}
	sizes := series.Sizes()
	if len(sizes) < MinSizes {
		return Line{}, &TooFewSizesError{Sizes: len(sizes)}
	}
	n := float64(len(points))
	meanSize, meanValue := 0.0, 0.0
	for _, p := range points {
		meanSize += p.Size / n
		meanValue += p.Value / n
	}
	cross, square := 0.0, 0.0
	for _, p := range points {
		d := p.Size - meanSize
		cross += d * (p.Value - meanValue)
		square += d * d
	}
	line := Line{Slope: cross / square, MinSize: sizes[0], MaxSize: sizes[len(sizes)-1]}
	line.Intercept = meanValue - line.Slope*meanSize
	line.Residual = line.residual(points)
	return line, nil
}

func (l Line) residual(points []Point) float64 {
	sum := 0.0
	for _, p := range points {
		d := p.Value - l.At(p.Size)
		sum += d * d
	}
	return math.Sqrt(sum / float64(len(points)))
}

// At returns the value of the line at a size, or 0 if that value is negative.
func (l Line) At(size float64) float64 {
	return max(0, l.Intercept+l.Slope*size)
}

// Extrapolates reports whether a size lies outside the measured range.
func (l Line) Extrapolates(size float64) bool {
	return size < l.MinSize || size > l.MaxSize
}
