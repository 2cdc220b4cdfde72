package measure

import (
	"fmt"
	"math"
)

// MinSizes is the number of distinct sizes that a line needs.
const MinSizes = 4

// Line is a straight line through measured points.
type Line struct {
	Slope     float64 // value for one more of size
	Intercept float64 // value at size zero
	Residual  float64 // root mean square distance of the values from the line
	MinSize   float64 // smallest measured size
	MaxSize   float64 // largest measured size
}

// FewSizesError reports that a line has too few sizes.
type FewSizesError struct{ Sizes int }

func (e *FewSizesError) Error() string {
	return fmt.Sprintf("%d distinct sizes, a slope needs %d; measure more sizes", e.Sizes, MinSizes)
}

// Fit returns the least-squares line of points with at least MinSizes distinct
// sizes.
func Fit(points []Point) (Line, error) {
	series := Series{Points: points}
	sizes := series.Sizes()
	if len(sizes) < MinSizes {
		return Line{}, &FewSizesError{Sizes: len(sizes)}
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

// At returns the value of the line at a size, and zero if the line is below
// zero there.
func (l Line) At(size float64) float64 {
	return max(0, l.Intercept+l.Slope*size)
}

// Extrapolates reports whether a size lies outside the measured ones.
func (l Line) Extrapolates(size float64) bool {
	return size < l.MinSize || size > l.MaxSize
}
