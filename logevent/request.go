package logevent

// Events of the request path.
var (
	PeerConnClosed = define(3003, "peer connection closed", warning, "A connection broke the protocol, by a frame that is too large, torn or of an unknown version, or by a certificate that is not accepted, and was closed.", "Check the versions and certificates of the daemons at both ends and what else connects to listen.daemons.")
)
