package intake

import "time"

// Defaults of the limits. No head of an ordinary caller comes near them.
const (
	defaultBytes     = 64 << 20
	defaultHeadSize  = 1 << 20
	defaultHeadLines = 10_000
	defaultBodyIdle  = 10 * time.Second
	defaultBodyRate  = 16 << 10 // bytes per second
	// defaultAnswerIdle is as long as a body may stop.
	defaultAnswerIdle = defaultBodyIdle
	// memoryShare and headShare are the parts of the process's memory and of the memory
	// for requests that go to requests and to heads.
	memoryShare = 8
	headShare   = 2
	// mostShare is the part of the process's memory that an operator can give to requests.
	mostShare = 4
	// fileDescriptors of a process are kept for files, and one in ownShare of the others
	// for the connections that the process itself opens.
	fileDescriptors = 200
	ownShare        = 8
	// quietShare is the part of the connections that callers leave to probes and peers.
	quietShare = 16
	minConns   = 16
)

// Machine is what a process may use: Memory in bytes and open Descriptors, each 0 if it is
// not known.
type Machine struct {
	Memory      int64
	Descriptors int
}

// NewLimits returns the limits for a machine. bodyBytes is the memory for bodies that an
// operator has set, 0 for what the machine allows.
func NewLimits(m Machine, bodyBytes int64) Limits {
	l := Limits{
		Memory: m.Memory, Bytes: defaultBytes, HeadSize: defaultHeadSize, HeadLines: defaultHeadLines,
		BodyIdle: defaultBodyIdle, BodyRate: defaultBodyRate, AnswerIdle: defaultAnswerIdle,
	}
	if m.Memory > 0 {
		l.Bytes = m.Memory / memoryShare
	}
	l.HeadBytes = l.Bytes / headShare
	if bodyBytes > 0 {
		l.Bytes = bodyBytes
		if m.Memory > 0 {
			l.Bytes = min(l.Bytes, m.Memory/mostShare)
		}
		l.HeadBytes = min(l.HeadBytes, l.Bytes)
	}
	if m.Descriptors > 0 {
		sockets := max(m.Descriptors-fileDescriptors, 0)
		l.Conns = max(sockets-sockets/ownShare, minConns)
	}
	return l
}
