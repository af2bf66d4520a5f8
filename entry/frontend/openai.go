package frontend

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/httpserver"
)

// Paths of the OpenAI API.
const (
	pathModels      = "/v1/models"
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
)

// bytesPerToken is the number of bytes of a request body that count as one token of
// the prompt.
const bytesPerToken = 4

// completionRequest holds the fields of a completion request that the entry uses.
type completionRequest struct {
	Model         string          `json:"model"`
	Messages      json.RawMessage `json:"messages"`
	Prompt        json.RawMessage `json:"prompt"`
	Stream        bool            `json:"stream"`
	MaxTokens     *int64          `json:"max_tokens"`
	MaxCompletion *int64          `json:"max_completion_tokens"`
	Choices       *int64          `json:"n"`
}

// decodeCompletion decodes and checks the body of a completion request. Its error is
// a *httpserver.Refusal.
func decodeCompletion(path string, body []byte) (completionRequest, error) {
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return request, badRequest("invalid_json", "the body is not a valid JSON request: "+err.Error())
	}
	if request.Model == "" {
		return request, badRequest("missing_model", "the body names no model; list the models with GET "+pathModels)
	}
	if path == pathChat && len(request.Messages) == 0 {
		return request, badRequest("missing_messages", "the body has no messages; add them as the OpenAI API describes")
	}
	if path == pathCompletions && len(request.Prompt) == 0 {
		return request, badRequest("missing_prompt", "the body has no prompt; add one as the OpenAI API describes")
	}
	for name, number := range map[string]*int64{"max_tokens": request.MaxTokens, "max_completion_tokens": request.MaxCompletion, "n": request.Choices} {
		if number != nil && *number < 1 {
			return request, badRequest("invalid_"+name, name+" must be 1 or more")
		}
	}
	return request, nil
}

// prompt returns the input of the model: the messages, else the prompt.
func (r completionRequest) prompt() []byte {
	if len(r.Messages) > 0 {
		return r.Messages
	}
	return r.Prompt
}

// tokens returns the number of tokens that the request is charged for: the estimate
// for the prompt and the maximum output of all choices.
func (r completionRequest) tokens(body []byte, defaultMaxTokens int64) int64 {
	output := defaultMaxTokens
	if r.MaxTokens != nil {
		output = *r.MaxTokens
	}
	if r.MaxCompletion != nil {
		output = *r.MaxCompletion
	}
	choices := int64(1)
	if r.Choices != nil {
		choices = *r.Choices
	}
	return promptTokens(body) + output*choices
}

// promptTokens estimates the number of prompt tokens from the size of the body.
func promptTokens(body []byte) int64 { return int64(len(body) / bytesPerToken) }

func badRequest(code, message string) *httpserver.Refusal {
	return httpserver.NewRefusal(httpserver.RefusalConfig{Status: fasthttp.StatusBadRequest, Code: code, Message: message})
}

func notFound(code, message string) *httpserver.Refusal {
	return httpserver.NewRefusal(httpserver.RefusalConfig{Status: fasthttp.StatusNotFound, Code: code, Message: message})
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"`
}

// listModels returns the body of the answer to GET /v1/models.
func listModels(inventory *fleetstate.Inventory, now time.Time) ([]byte, error) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range inventory.Models() {
		list.Data = append(list.Data, modelEntry{ID: model.Name(), Object: "model", Created: now.Unix(), OwnedBy: "sesamewell"})
	}
	for _, adapter := range inventory.Adapters() {
		list.Data = append(list.Data, modelEntry{ID: adapter.Name(), Object: "model", Created: now.Unix(), OwnedBy: "sesamewell", Parent: adapter.Model()})
	}
	return json.Marshal(list)
}

func isModelPath(path string) bool {
	return path == pathChat || path == pathCompletions || path == pathModels || strings.HasPrefix(path, pathModels+"/")
}
