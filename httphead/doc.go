// Package httphead validates the heads and trailers of HTTP/1 messages by the grammar of RFC 9110
// and RFC 9112, before a parser reads them.
//
// The parser of fasthttp accepts what the grammar excludes, spaces in field names among
// them, and does not tell the status 000 from 200. A message that it repairs may have another
// length, or belong to another request, than its sender meant. So all that is received passes the
// same check: Response, Request and Trailer validate bytes, the functions that begin with Peek
// those that a buffered reader receives, and ClientConn those of a connection that a client of
// fasthttp reads.
//
// The check is that of the grammar, apart from what RFC 9112 lets a recipient tolerate: a line may
// end with LF, empty lines may precede the first line, and several spaces may precede the status.
// Continuation lines are rejected, as a gateway may do by section 5.2: the parser would join a
// field that begins with a space to the value of the one before it.
package httphead
