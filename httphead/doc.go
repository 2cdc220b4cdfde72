// Package httphead validates the heads and trailers of HTTP/1 messages by the grammar of RFC 9110
// and RFC 9112, before a parser reads them.
//
// The parser of fasthttp accepts what the grammar excludes, spaces in field names among
// them, and does not tell the status 000 from 200. A message that it repairs may have another
// length, or belong to another request, than its sender meant. So all that is received passes the
// same check: Response, Request and Trailer validate bytes, the functions that begin with Peek
// those that a buffered reader receives, and ClientConn those of a connection that a client of
// fasthttp reads. ReadResponse, ReadTrailer and the functions that begin with Parse hand the parser
// what was validated and no other byte, so that both end a head at the same place.
//
// The check is that of the grammar, apart from what RFC 9112 lets a recipient tolerate: empty lines
// may precede the first line, and several spaces may precede the status. Two tolerances of the RFC
// are not granted. Continuation lines are rejected, as a gateway may do by section 5.2: the parser
// would join a field that begins with a space to the value of the one before it. A line that ends
// with LF alone, which section 2.2 lets a recipient accept, is rejected: the parser accepts it if
// CRLF CRLF stands somewhere behind it, and waits otherwise.
package httphead
