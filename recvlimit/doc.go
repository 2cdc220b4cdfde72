// Package recvlimit bounds the memory of messages that are being received. A Budget
// is shared by all messages of one source, such as the answers of the target.
package recvlimit
