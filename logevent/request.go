package logevent

// Events of the request path.
var (
	PeerConnClosed = define(3003, "peer connection closed", warning, "A connection was closed after a protocol error: a frame that is too large, truncated or of an unknown version, or a certificate that is not accepted.", "Check the versions and certificates of the daemons at both ends, and whether anything else connects to listen.daemons.")
)
