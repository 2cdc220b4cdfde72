// Package quarantine decides which requests crash the targets that run them, and how a
// request that may do so is still run: it holds the evidence of all targets, from which
// each daemon comes to the same verdict without a coordinator. It has no I/O.
//
// The daemon beside a target records which requests were in progress when the target
// crashed. A request that was in progress at one crash is suspected: few suspected ones
// run at a time, and never two of the same content. After a second crash it runs only on
// trial, alone at its target, so that the next crash tells whether it is the cause and no
// other request is lost. A request that has crashed three targets, two of them alone and at
// different times, is quarantined: no daemon sends it to a target any more.
//
// A response of a target acquits the request that it answers. Requests of a content that is
// served often are no suspects.
//
// Evidence merges in any order: crashes, acquittals and convictions are only ever added.
package quarantine
