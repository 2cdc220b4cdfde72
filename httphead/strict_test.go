package httphead

import (
	"regexp"
	"strings"
)

// The grammar of RFC 9110 and RFC 9112 as regular expressions over the characters of ISO 8859-1,
// with what the package documentation lists as tolerated.
const (
	strictToken  = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+"
	strictText   = "[\t \\x{21}-\\x{7e}\\x{80}-\\x{ff}]*"
	strictEnd    = "\r\n"
	strictFields = "(?:" + strictToken + ":" + strictText + strictEnd + ")*" + strictEnd
	strictEmpty  = "(?:" + strictEnd + ")*"
)

var (
	strictResponse = regexp.MustCompile("^" + strictEmpty + "HTTP/1[.]([0-9]) +([1-5][0-9][0-9])(?: " + strictText + ")?" + strictEnd + strictFields)
	strictRequest  = regexp.MustCompile("^" + strictEmpty + strictToken + " [\\x{21}-\\x{7e}\\x{80}-\\x{ff}]+ HTTP/1[.]([0-9])" + strictEnd + strictFields)
	strictTrailer  = regexp.MustCompile("^" + strictFields)
	strictCoding   = regexp.MustCompile("(?i)\ntransfer-encoding:")
)

// strictSize returns the size of the message section that text begins with, or 0 if it begins with
// no complete and proper one. The first group of the expression is the minor version.
func strictSize(section *regexp.Regexp, text string) int {
	var latin strings.Builder
	for i := range len(text) {
		latin.WriteRune(rune(text[i]))
	}
	m := section.FindStringSubmatch(latin.String())
	if m == nil || len(m) > 1 && m[1] != "1" && strictCoding.MatchString(m[0]) {
		return 0
	}
	return len([]rune(m[0]))
}
