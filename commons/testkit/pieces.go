package testkit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// piecePause is the time between two pieces, in which the reader takes the one before.
const piecePause = 20 * time.Millisecond

// RequestInPieces is a request that is sent in several segments.
type RequestInPieces struct {
	pieces []string
	body   string
}

// RequestsInPieces returns requests, by name, whose pieces begin with line ends. line and
// fields are the start of each, without the fields that frame the body.
func RequestsInPieces(line, fields string) map[string]RequestInPieces {
	head := line + "\r\n" + fields
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	sized := func(pieces ...string) RequestInPieces {
		body := strings.Join(pieces, "")
		return RequestInPieces{pieces: append([]string{fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body))}, pieces...), body: body}
	}
	return map[string]RequestInPieces{
		"chunks, last line end apart":         {pieces: []string{chunked + "2\r\nhi\r\n0\r\n", "\r\n"}, body: "hi"},
		"chunks, LF of the last line apart":   {pieces: []string{chunked + "2\r\nhi\r\n0\r\n\r", "\n"}, body: "hi"},
		"chunks, line end behind data apart":  {pieces: []string{chunked + "2\r\nhi", "\r\n0\r\n\r\n"}, body: "hi"},
		"chunks, LF behind a size apart":      {pieces: []string{chunked + "2\r", "\nhi\r\n0\r\n\r\n"}, body: "hi"},
		"chunks, data begins with line ends":  {pieces: []string{chunked + "6\r\n", "\r\n\r\nhi", "\r\n0\r\n\r\n"}, body: "\r\n\r\nhi"},
		"chunks, all line ends apart":         {pieces: []string{chunked, "2", "\r\n", "hi", "\r\n", "0", "\r\n", "\r\n"}, body: "hi"},
		"length, a piece begins with CR LF":   sized("hi", "\r\nyou"),
		"length, a piece begins with LF":      sized("hi", "\nyou"),
		"length, a piece begins with CR":      sized("hi", "\ryou"),
		"length, the body begins with CR LF":  sized("\r\nhi"),
		"length, the body consists of LF":     sized("\n", "\n", "\n"),
		"length, no piece begins with either": sized("hi", "you\r\n"),
		"head apart, blank lines before it":   {pieces: []string{"\r\n", "\n", head, "Content-Length: 2\r\n", "\r\nhi"}, body: "hi"},
	}
}

// Body returns the body of the request.
func (r RequestInPieces) Body() string { return r.body }

// Exchange sends the request on a new connection, each piece in a segment of its own, and
// returns the status and the body of the answer. It fails if that takes longer than limit.
func (r RequestInPieces) Exchange(address string, limit time.Duration) (status int, body string, err error) {
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return 0, "", err
	}
	if err := r.send(conn); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

func (r RequestInPieces) send(conn io.Writer) error {
	for i, piece := range r.pieces {
		if i > 0 {
			time.Sleep(piecePause)
		}
		if _, err := io.WriteString(conn, piece); err != nil {
			return err
		}
	}
	return nil
}
