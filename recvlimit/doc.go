// Package recvlimit bounds the memory of messages that are being received. A Budget
// is shared by all messages of one source, such as the answers of the target; a Pool by
// the messages of all sources. It handles many large messages at a time, complete or
// stopped short of their end.
package recvlimit
