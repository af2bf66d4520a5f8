package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpmeta"
	"sesamewell.example/commons/memory"
	"sesamewell.example/lobby/proxy"
	"sesamewell.example/lobby/scheduler"
	"sesamewell.example/platform"
)

// misbehave plays one caller: it sends a request, or a part of one, or what is none, reads all
// or a part of the answer, and ends its connection in one of several ways.
func misbehave(address, id string, random *rand.Rand) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return // the proxy has as many connections as it may
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
	body := strings.Repeat("x", random.IntN(60<<10))
	head := fmt.Sprintf("POST /a HTTP/1.%d\r\nHost: h\r\nRequest-Id: %s\r\n", random.IntN(2), id)
	texts := []string{
		head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body)+1, body),
		head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 1<<40, body),
		head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body+"x") + "0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n" + "zz\r\n" + body,
		head + "Content-Length: 0\r\n\r\n" + head + "Content-Length: 0\r\n\r\n" + body,
		head + body,
		body,
	}
	if _, err := io.WriteString(conn, texts[random.IntN(len(texts))]); err != nil {
		return
	}
	reader := bufio.NewReader(conn)
	switch random.IntN(4) {
	case 0:
		if response, err := http.ReadResponse(reader, nil); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
		}
	case 1:
		_, _ = reader.ReadByte()
	case 2:
		time.Sleep(time.Duration(random.IntN(4)) * time.Millisecond)
	}
	if random.IntN(3) > 0 {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// answerAtRandom writes an answer of some kind, whole or in part, and reports whether the
// connection goes on.
func answerAtRandom(conn net.Conn, id string, random *rand.Rand) bool {
	size := []int{5, 1 << 17}[random.IntN(2)]
	answers := []string{
		fixedLengthAnswer(id, strings.Repeat("x", size)),
		strings.Replace(fixedLengthAnswer(id, "no"), "200 OK", "503 Busy\r\nNot-Run: 1", 1),
		streamHead(id) + chunk("data: a\n\n") + chunk("data: "+strings.Repeat("b", size)+"\n\n") + "0\r\n\r\n",
		streamHead(id) + chunk("data: a\n\n") + chunk("data: b"),
		"HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n",
	}
	answer := answers[random.IntN(len(answers))]
	cut := len(answer)
	if random.IntN(4) == 0 {
		cut = random.IntN(len(answer))
	}
	for _, piece := range []string{answer[:cut/2], answer[cut/2 : cut]} {
		time.Sleep(time.Duration(random.IntN(3)) * time.Millisecond)
		_, _ = io.WriteString(conn, piece)
	}
	return cut == len(answer)
}

// freezingCodec holds the event loop up at some requests, as a freeze of the process does, so
// that connections end meanwhile.
type freezingCodec struct {
	platform.HeaderCodec

	next func() *rand.Rand
}

// DecodeRequest returns the parameters of a caller's request.
func (c freezingCodec) DecodeRequest(now time.Time, request *fasthttp.Request) *httpmeta.Request {
	if random := c.next(); random.IntN(8) == 0 {
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
	return c.HeaderCodec.DecodeRequest(now, request)
}

// TestAccountsEndAtZero plays crowds of callers and backend servers whose requests, answers and
// connections end in random orders, freezes, and a drain. It guards against a number or bytes
// that are counted twice or never given back: all are zero at the end and none is ever below.
func TestAccountsEndAtZero(t *testing.T) {
	cases := map[string]struct {
		seed   uint64
		stream bool
		drain  bool
	}{
		"answers":        {seed: 1},
		"streams":        {seed: 2, stream: true},
		"answers, drain": {seed: 3, drain: true},
		"streams, drain": {seed: 4, stream: true, drain: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex // guards draws
			draws := rand.New(rand.NewPCG(tc.seed, 1))
			next := func() *rand.Rand {
				mu.Lock()
				defer mu.Unlock()
				return rand.New(rand.NewPCG(tc.seed, draws.Uint64()))
			}
			b := newBackend(t, func(conn net.Conn, id string, _ int) bool { return answerAtRandom(conn, id, next()) })
			go func() {
				for range b.requestIDs {
					<-b.lastEventIDs
				}
			}()
			account := memory.NewBudgetOf(testMemory)
			l := newLobbyWith(t, proxy.Config{Memory: account, Codec: freezingCodec{next: next}}, func(s *scheduler.SendConfig) { s.Address, s.Stream = b.address, tc.stream })
			go func() {
				for {
					select {
					case <-l.ended:
					case <-l.disconnected:
					case <-b.closed:
					}
				}
			}()
			numbers := func() []int {
				callers, backends := l.proxy.Connections()
				return []int{l.proxy.Open(), l.proxy.Pending(), int(account.Total()), callers, backends}
			}
			const callers, requests = 16, 15
			var crowd sync.WaitGroup
			for caller := range callers {
				crowd.Go(func() {
					for n := range requests {
						misbehave(l.address, fmt.Sprint("r-", caller, "-", n), next())
						for i, number := range numbers() {
							if number < 0 {
								t.Errorf("number %d of the proxy is %d", i, number)
							}
						}
						if tc.drain && caller == 0 && n == requests/2 {
							l.proxy.Drain(time.Now())
						}
					}
				})
			}
			crowd.Wait()
			_ = l.proxy.Put(scheduler.NewCloseIdle(scheduler.CloseIdleConfig{Backend: "i-1"}))
			for i, what := range []string{"open requests", "callers that are owed an answer", "bytes held", "connections of callers", "connections to backend servers"} {
				awaitCount(t, what, 0, func() int { return numbers()[i] })
			}
		})
	}
}
