package yamlfile

import (
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// nodeFinder is an ast.Visitor that keeps the last node that matches.
type nodeFinder struct {
	match func(ast.Node) bool
	found ast.Node
}

// Visit implements ast.Visitor.
func (v *nodeFinder) Visit(n ast.Node) ast.Visitor {
	if n.GetToken() != nil && v.match(n) {
		v.found = n
	}
	return v
}

// find returns the last node in depth-first order that matches, or nil. Of nested
// matches it is the innermost one.
func (f *File) find(match func(ast.Node) bool) ast.Node {
	if f.tree == nil {
		return nil
	}
	v := &nodeFinder{match: match}
	for _, doc := range f.tree.Docs {
		if doc.Body != nil {
			ast.Walk(v, doc.Body)
		}
	}
	return v.found
}

// fieldOf returns the path of the field that the node belongs to.
func fieldOf(n ast.Node) string {
	return strings.TrimPrefix(strings.TrimPrefix(n.GetPath(), "$"), ".")
}
