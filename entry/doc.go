// Package entry takes callers' HTTP requests, finds the owner of each key and
// forwards the request to the owner's daemon. Every answer states its outcome:
// done, not run or unknown.
package entry
