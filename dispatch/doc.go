// Package dispatch decides, on the entry side, what becomes of a request: when
// it is sent, sent again, held until its owner is known, or answered.
//
// The decisions are pure. A driver calls Request.Step with an event and
// carries out the Action that comes back.
package dispatch
