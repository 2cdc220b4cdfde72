// Package docs holds the pages; its tests hold pages and code together.
package docs
