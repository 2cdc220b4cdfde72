// Package recvlimit bounds the memory of messages that are received, or wait to be sent. A
// Pool is shared by the messages of all sources. It handles many large messages at a time,
// complete or stopped short of their end.
package recvlimit
