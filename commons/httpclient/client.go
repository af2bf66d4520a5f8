// Package httpclient sends HTTP requests to services outside the system. It never sends a
// request twice: only its callers can decide whether it may be repeated.
package httpclient

import (
	"bytes"
	"cmp"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Config holds the construction parameters of a Client.
type Config struct {
	Address  string                                 // IP:port of the service
	MaxConns int                                    // maximum number of open connections
	MaxBody  int                                    // maximum size of a response's body in bytes; DefaultMaxBody if zero
	Dial     func(address string) (net.Conn, error) // nil for a plain TCP connection
}

// DefaultMaxBody is the maximum size of the body of a response of a service without a limit
// of its own, in bytes. A longer one is an error of its call.
const DefaultMaxBody = 16<<20 - chunkEnd

// chunkEnd is the number of bytes of the line end after the last chunk of a body. fasthttp
// keeps it in the buffer of the body, whose size it rounds up to a power of two.
const chunkEnd = 2

// Client sends requests to one service. It connects on the first request and is
// safe for concurrent use.
type Client struct {
	config Config
	http   *fasthttp.HostClient
}

// New returns a client.
func New(config Config) *Client {
	return &Client{
		config: config,
		http: &fasthttp.HostClient{
			Addr:                     config.Address,
			MaxConns:                 config.MaxConns,
			MaxResponseBodySize:      cmp.Or(config.MaxBody, DefaultMaxBody),
			Dial:                     dialFunc(config.Dial),
			NoDefaultUserAgentHeader: true,
			RetryIfErr: func(_ *fasthttp.Request, _ int, err error) (resetTimeout, retry bool) {
				return false, errors.Is(err, errUnusable) // nothing was sent
			},
		},
	}
}

// dialFunc returns a function that opens connections which may be kept.
func dialFunc(dial func(address string) (net.Conn, error)) fasthttp.DialFunc {
	if dial == nil {
		dial = fasthttp.Dial
	}
	return func(address string) (net.Conn, error) {
		conn, err := dial(address)
		if err != nil {
			return nil, err
		}
		kept, err := keep(conn)
		if err != nil {
			return nil, err
		}
		return Check(kept), nil
	}
}

// Dial opens a connection whose responses are checked, for a client of package fasthttp.
func Dial(address string) (net.Conn, error) {
	conn, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return Check(conn), nil
}

// RequestConfig holds the construction parameters of a Request.
type RequestConfig struct {
	Method  string
	Path    string // including the query
	Header  map[string]string
	Body    []byte
	Timeout time.Duration                         // maximum time until the response is complete
	OnHead  func(header *fasthttp.ResponseHeader) // called with the head of the response, unless nil
}

// Request is one HTTP request.
type Request struct{ config RequestConfig }

// NewRequest returns a request.
func NewRequest(config RequestConfig) Request { return Request{config: config} }

// Send sends a request once and returns the status and body of the response. After
// an error the service may have carried out the request.
func (c *Client) Send(request Request) (int, []byte, error) {
	message, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(message)
	defer fasthttp.ReleaseResponse(response)
	message.Header.SetMethod(request.config.Method)
	message.SetRequestURI("http://" + c.config.Address + request.config.Path)
	for name, value := range request.config.Header {
		message.Header.Set(name, value)
	}
	message.SetBodyRaw(request.config.Body)
	if err := c.http.DoTimeout(message, response, request.config.Timeout); err != nil {
		return 0, nil, errors.Wrapf(err, "%s %s", request.config.Method, request.config.Path)
	}
	if request.config.OnHead != nil {
		request.config.OnHead(&response.Header)
	}
	return response.StatusCode(), bytes.Clone(response.Body()), nil
}
