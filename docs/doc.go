// Package docs holds the documentation pages. Its tests check that the pages match
// the code.
package docs
