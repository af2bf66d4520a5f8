package admin

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/httpmeta"
)

// RoutePath is the path of a lobby's page that tells where a request would be routed.
const RoutePath = "/route"

// Keys of the page's query.
const (
	routeKey    = "route"
	hostKey     = "host"
	pathKey     = "path"
	customerKey = "customer"
	modelKey    = "model"
	adapterKey  = "adapter"
	partKey     = "part"
)

const (
	maxQueryParts  = 512     // prompt parts in one query
	maxQueryTokens = 1 << 24 // tokens of one part
)

// RouteQuery describes a request that has not been sent, as the operator states it.
type RouteQuery struct {
	Route    string   // name of a route; if it is empty, Host and Path select one
	Host     string   // with Path, in place of Route
	Path     string   // with Host, in place of Route
	Customer string   // empty for a request without one
	Model    string   // empty for a service without models
	Adapter  string   // empty for none
	Parts    []string // of the prompt in their order, as ID:TOKENS
}

// Encode returns the query for the page, or an error if it is invalid.
func (q RouteQuery) Encode() (string, error) {
	if err := q.check(); err != nil {
		return "", err
	}
	var args fasthttp.Args
	for key, value := range map[string]string{routeKey: q.Route, hostKey: q.Host, pathKey: q.Path, customerKey: q.Customer, modelKey: q.Model, adapterKey: q.Adapter} {
		if value != "" {
			args.Set(key, value)
		}
	}
	for _, part := range q.Parts {
		args.Add(partKey, part)
	}
	return args.String(), nil
}

// DecodeRouteQuery returns the query that a page got, or an error that is marked as
// ErrBadQuery.
func DecodeRouteQuery(args *fasthttp.Args) (RouteQuery, error) {
	text := func(key string) string { return string(args.Peek(key)) }
	q := RouteQuery{Route: text(routeKey), Host: text(hostKey), Path: text(pathKey), Customer: text(customerKey), Model: text(modelKey), Adapter: text(adapterKey)}
	for _, part := range args.PeekMulti(partKey) {
		q.Parts = append(q.Parts, string(part))
	}
	return q, q.check()
}

// check returns an error that is marked as ErrBadQuery if the query is invalid.
func (q RouteQuery) check() error {
	switch byName := q.Route != ""; {
	case byName && (q.Host != "" || q.Path != ""):
		return errors.Mark(errors.New("name either the route, or host and path"), ErrBadQuery)
	case !byName && (q.Host == "" || !strings.HasPrefix(q.Path, "/")):
		return errors.Mark(errors.New("name the route, or a host and a path that begins with a slash"), ErrBadQuery)
	case q.Adapter != "" && q.Model == "":
		return errors.Mark(errors.New("an adapter needs the model that it belongs to"), ErrBadQuery)
	case len(q.Parts) > maxQueryParts:
		return errors.Mark(errors.Newf("more than %d prompt parts", maxQueryParts), ErrBadQuery)
	}
	_, err := q.PromptParts()
	return err
}

// PromptParts returns the prompt's parts, or an error that is marked as ErrBadQuery.
func (q RouteQuery) PromptParts() ([]httpmeta.Part, error) {
	var parts []httpmeta.Part
	for _, text := range q.Parts {
		id, count, _ := strings.Cut(text, ":")
		tokens, err := strconv.ParseInt(count, 10, 64)
		if err != nil || id == "" || tokens < 1 || tokens > maxQueryTokens {
			return nil, errors.Mark(errors.Newf("prompt part %.80q is not ID:TOKENS with 1 to %d tokens", text, maxQueryTokens), ErrBadQuery)
		}
		parts = append(parts, httpmeta.NewPart(httpmeta.PartConfig{ID: id, Tokens: tokens}))
	}
	return parts, nil
}

// RouteReport is the content of the page. Times are in milliseconds.
type RouteReport struct {
	Route    string            `json:"route"`
	Refused  string            `json:"refused,omitempty"` // cause of the refusal that the request would get
	Choices  map[string]string `json:"choices"`           // by service, the backend server that would get the request
	Backends []BackendReport   `json:"backends"`
}

// BackendReport tells what one backend server would cost the request. Cost and its terms
// are zero for one that is excluded.
type BackendReport struct {
	Service    string  `json:"service"`
	Backend    string  `json:"backend"`
	Domain     string  `json:"domain"`
	Excluded   string  `json:"excluded,omitempty"` // rule by which it is excluded
	Rank       int     `json:"rank"`               // those of a lower rank come first
	Open       int     `json:"open"`
	Slots      int     `json:"slots"`
	Cached     int64   `json:"cached_tokens"`
	CacheAge   float64 `json:"cache_age_ms"`
	Prefilling float64 `json:"prefilling_ms"` // prefill that is pending
	Prefill    float64 `json:"prefill_ms"`    // of what is not cached
	Ratio      float64 `json:"prefill_ratio"` // learned, by the average of the service
	Wait       float64 `json:"wait_ms"`
	Adapter    float64 `json:"adapter_ms"`
	Link       float64 `json:"link_ms"`
	Load       float64 `json:"load_ms"`
	Evicted    float64 `json:"evicted_ms"` // prefill of the parts that would be evicted
	FirstToken float64 `json:"first_token_ms"`
	Cost       float64 `json:"cost_ms"`
}
