// Package messenger makes HTTP calls of services outside the system, each sent
// once: whether a call may be repeated is for its caller to say.
package httpclient

import (
	"bytes"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Config holds the construction parameters of a Messenger.
type Config struct {
	Address  string                                 // IP:port of the service
	MaxConns int                                    // open connections
	Dial     func(address string) (net.Conn, error) // nil for an ordinary connection
}

// Messenger is the client of one service. It connects on its first call, and any
// thread may call it.
type Client struct {
	config Config
	http   *fasthttp.HostClient
}

// New returns a messenger.
func New(config Config) *Client {
	return &Client{
		config: config,
		http: &fasthttp.HostClient{
			Addr:                     config.Address,
			MaxConns:                 config.MaxConns,
			Dial:                     config.Dial,
			NoDefaultUserAgentHeader: true,
			RetryIfErr:               func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// CallConfig holds the construction parameters of a Call.
type RequestConfig struct {
	Method  string
	Path    string // with the query
	Header  map[string]string
	Body    []byte
	Timeout time.Duration // on the time until the answer is whole
}

// Call is one request.
type Request struct{ config RequestConfig }

// NewCall returns a call.
func NewRequest(config RequestConfig) Request { return Request{config: config} }

// Send makes a call and returns the answer's status and body. After an error the
// service may have done what it was asked.
func (m *Client) Send(call Request) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(call.config.Method)
	request.SetRequestURI("http://" + m.config.Address + call.config.Path)
	for name, value := range call.config.Header {
		request.Header.Set(name, value)
	}
	request.SetBodyRaw(call.config.Body)
	if err := m.http.DoTimeout(request, response, call.config.Timeout); err != nil {
		return 0, nil, errors.Wrapf(err, "%s %s", call.config.Method, call.config.Path)
	}
	return response.StatusCode(), bytes.Clone(response.Body()), nil
}
