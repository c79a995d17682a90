package forwarder

import (
	"bytes"
	"io"
	"net"
	"strconv"
)

// RejectAmbiguousFraming returns a listener for http.Server that rejects requests with both Content-Length and
// Transfer-Encoding. net/http removes the length of such requests before a handler sees them.
func RejectAmbiguousFraming(l net.Listener) net.Listener { return framingListener{l} }

type framingListener struct{ net.Listener }

func (l framingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &framingConn{Conn: c}, nil
}

const ambiguousFramingResponse = "HTTP/1.1 400 Bad Request\r\nX-Not-Run: true\r\nConnection: close\r\nContent-Type: application/json\r\n" +
	"Content-Length: 65\r\n\r\n" + `{"error":"both Content-Length and Transfer-Encoding are present"}`

// framingConn parses the framing of the requests that are read from it.
type framingConn struct {
	net.Conn
	parser   framingParser
	rejected bool
}

// Read returns the bytes that arrived, without the end of a rejected header.
func (c *framingConn) Read(p []byte) (int, error) {
	if c.rejected {
		return 0, io.EOF
	}
	betweenRequests := c.parser.state == inHeader
	n, err := c.Conn.Read(p)
	if n > 0 && !c.parser.parse(p[:n]) {
		c.rejected = true
		if betweenRequests {
			// No earlier request is in progress, since its body ended in an earlier read.
			_, _ = io.WriteString(c.Conn, ambiguousFramingResponse)
		}
		return 0, io.EOF
	}
	return n, err
}

// framingState is the part of a request that the next byte belongs to.
type framingState uint8

const (
	inHeader framingState = iota
	inBody
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailer
	// unparsable means that the framing is invalid, which net/http rejects by itself.
	unparsable
)

// maxLineBytes is how much of a line is stored; only header names and lengths are needed.
const maxLineBytes = 128

// framingParser finds the header of each request in a stream.
type framingParser struct {
	state               framingState
	line                []byte
	requestLineSeen     bool
	hasContentLength    bool
	hasTransferEncoding bool
	remaining           int64
}

// parse returns false at the end of a header that must be rejected.
func (f *framingParser) parse(p []byte) bool {
	for len(p) > 0 {
		switch f.state {
		case unparsable:
			return true
		case inBody, inChunkData:
			n := min(int64(len(p)), f.remaining)
			f.remaining -= n
			p = p[n:]
			if f.remaining == 0 {
				f.endOfData()
			}
		default:
			end := bytes.IndexByte(p, '\n')
			if end < 0 {
				f.appendToLine(p)
				return true
			}
			f.appendToLine(p[:end])
			p = p[end+1:]
			line := bytes.TrimSuffix(f.line, []byte("\r"))
			f.line = f.line[:0]
			if !f.endOfLine(line) {
				return false
			}
		}
	}
	return true
}

func (f *framingParser) appendToLine(p []byte) {
	f.line = append(f.line, p[:min(len(p), maxLineBytes-len(f.line))]...)
}

// endOfData handles the end of a body or chunk.
func (f *framingParser) endOfData() {
	if f.state == inChunkData {
		f.state = inChunkEnd
		return
	}
	f.state = inHeader
}

// endOfLine handles a line, which is given without its line break.
func (f *framingParser) endOfLine(line []byte) bool {
	switch f.state {
	case inHeader:
		return f.parseHeaderLine(line)
	case inChunkSize:
		size, _, _ := bytes.Cut(line, []byte(";"))
		n, err := strconv.ParseInt(string(bytes.TrimSpace(size)), 16, 64)
		switch {
		case err != nil || n < 0:
			f.state = unparsable
		case n == 0:
			f.state = inTrailer
		default:
			f.state, f.remaining = inChunkData, n
		}
	case inChunkEnd:
		f.state = inChunkSize
	case inTrailer:
		if len(line) == 0 {
			f.state = inHeader
		}
	case inBody, inChunkData, unparsable:
	}
	return true
}

func (f *framingParser) parseHeaderLine(line []byte) bool {
	if len(line) == 0 {
		return !f.requestLineSeen || f.endOfHeader()
	}
	if !f.requestLineSeen {
		f.requestLineSeen = true
		return true
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	name = bytes.TrimSpace(name)
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		f.hasContentLength = true
		f.remaining = n
		if err != nil {
			f.state = unparsable
		}
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		f.hasTransferEncoding = true
	}
	return true
}

func (f *framingParser) endOfHeader() bool {
	if f.hasContentLength && f.hasTransferEncoding {
		return false
	}
	switch {
	case f.hasTransferEncoding:
		f.state = inChunkSize
	case f.remaining > 0:
		f.state = inBody
	}
	f.requestLineSeen, f.hasContentLength, f.hasTransferEncoding = false, false, false
	return true
}
