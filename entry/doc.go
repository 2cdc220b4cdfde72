// Package entry accepts callers' HTTP requests, looks up the owner of each key
// and forwards the request to the owner's daemon. It retries a request where
// that is safe, and holds it while its range has no reachable owner. Every
// response states the outcome: done, not run or unknown.
package entry
