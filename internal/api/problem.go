// Package api is what the HTTP interfaces of instances and managers have in common: problem documents, JSON bodies that
// are read strictly, who may come in and in which role, and the client's side of it.
package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Problem is an answer that refuses (RFC 9457).
type Problem struct {
	Status int    `json:"status"`
	Title  string `json:"title"`
	Detail string `json:"detail"`
	Field  string `json:"field,omitempty"`
	Epoch  string `json:"epoch,omitempty"` // of the process that refuses
}

func (p *Problem) Error() string {
	if p.Field != "" {
		return p.Title + ": " + p.Field + ": " + p.Detail
	}
	return p.Title + ": " + p.Detail
}

// Write writes the problem as the answer.
func (p *Problem) Write(w http.ResponseWriter) {
	if p.Status == http.StatusRequestEntityTooLarge || p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	json.NewEncoder(w).Encode(p) // a client that does not take it is gone
}

// AnswerTimeout is how long a request may take, body and answer.
const AnswerTimeout = 10 * time.Second

// Handler makes a handler of a function whose value is the answer, as JSON. Its errors become problems by way of problem,
// and bodies have so many bytes at most.
func Handler(mostBody int64, problem func(error) *Problem, f func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), AnswerTimeout)
		defer cancel()
		http.NewResponseController(w).SetReadDeadline(time.Now().Add(AnswerTimeout)) // there is one, or the connection is gone
		r.Body = http.MaxBytesReader(w, r.Body, mostBody)
		v, err := f(r.WithContext(ctx))
		if err != nil {
			problem(err).Write(w)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(v)
	}
}

// Body reads a JSON object whose fields are all known. Its error is a *Problem.
func Body(r *http.Request, v any) error {
	text, err := io.ReadAll(r.Body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &Problem{http.StatusRequestEntityTooLarge, "the body is too large", fmt.Sprintf("over %d bytes", large.Limit), "", ""}
	case err != nil:
		return &Problem{http.StatusBadRequest, "the body can't be read", err.Error(), "", ""}
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	err = dec.Decode(v)
	if err == nil {
		if _, more := dec.Token(); more != io.EOF {
			err = errors.New("there is more behind it")
		}
	}
	if err == nil {
		return nil
	}
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return &Problem{http.StatusBadRequest, "the body can't be read", fmt.Sprintf("a %s is no %s", kind.Value, kind.Type), kind.Field, ""}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return &Problem{http.StatusBadRequest, "the body can't be read", "there is no such field", strings.Trim(name, `"`), ""}
	}
	return &Problem{http.StatusBadRequest, "the body can't be read", err.Error(), "", ""}
}

// IdempotencyKey is the header with the id of a change that has none in its path: a repeat under it gets the first
// result (draft-ietf-httpapi-idempotency-key-header).
const IdempotencyKey = "Idempotency-Key"

// Key reads the id of a change.
func Key(r *http.Request) (string, error) {
	id := r.Header.Get(IdempotencyKey)
	if id == "" || len(id) > 256 {
		return "", &Problem{http.StatusBadRequest, "the change can't be made", "it has no id of 1 to 256 bytes", IdempotencyKey, ""}
	}
	return id, nil
}
