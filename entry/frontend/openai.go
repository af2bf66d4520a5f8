package frontend

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"sesamewell.example/commons/fleetstate"
	"sesamewell.example/commons/wicket"
)

// Paths of the OpenAI API.
const (
	pathModels      = "/v1/models"
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
)

// charactersPerToken is the number of bytes of text that count as one token of
// a prompt.
const bytesPerToken = 4

// completion is the part of a completion request that the entry acts on.
type completionRequest struct {
	Model         string          `json:"model"`
	Messages      json.RawMessage `json:"messages"`
	Prompt        json.RawMessage `json:"prompt"`
	Stream        bool            `json:"stream"`
	MaxTokens     *int64          `json:"max_tokens"`
	MaxCompletion *int64          `json:"max_completion_tokens"`
	Choices       *int64          `json:"n"`
}

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

// prompt returns the part of the request that the model reads.
func (c completionRequest) prompt() []byte {
	if len(c.Messages) > 0 {
		return c.Messages
	}
	return c.Prompt
}

// tokens returns the upper bound on prompt and output tokens.
func (c completionRequest) tokens(body []byte, fallback int64) int64 {
	output := fallback
	if c.MaxTokens != nil {
		output = *c.MaxTokens
	}
	if c.MaxCompletion != nil {
		output = *c.MaxCompletion
	}
	choices := int64(1)
	if c.Choices != nil {
		choices = *c.Choices
	}
	return promptTokens(body) + output*choices
}

// promptTokens returns the estimate of a prompt's tokens.
func promptTokens(body []byte) int64 { return int64(len(body) / bytesPerToken) }

func badRequest(code, message string) *wicket.Refusal {
	return wicket.NewRefusal(wicket.RefusalConfig{Status: fasthttp.StatusBadRequest, Code: code, Message: message})
}

func notFound(code, message string) *wicket.Refusal {
	return wicket.NewRefusal(wicket.RefusalConfig{Status: fasthttp.StatusNotFound, Code: code, Message: message})
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

// listModels returns the body of the models page.
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
