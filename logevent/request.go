package logevent

// Events of the request path.
var (
	PeerConnClosed       = define(3003, "peer connection closed", warning, "A connection was closed after a protocol error: a frame that is too large, truncated or of an unknown version, or a certificate that is not accepted.", "Check the versions and certificates of the daemons at both ends, and whether anything else connects to listen.daemons.")
	PeerMessageMalformed = define(3004, "peer message malformed", warning, "A request or call of another daemon could not be decoded. Its sender was told that it was not run; other requests on the connection go on.", "Compare the versions of both daemons.")
)
