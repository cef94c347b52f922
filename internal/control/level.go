package control

import (
	"fmt"
	"net/http"
	"time"

	"example.org/micaline/internal/api"
)

// Level is the status of an instance's levels of reduced service.
type Level struct {
	Level    string         `json:"level"`
	Levels   []string       `json:"levels"`           // all levels, from normal service to the most reduced
	For      float64        `json:"for_s"`            // seconds that the level has been in force
	Dwell    float64        `json:"dwell_s"`          // minimum seconds at a level
	Held     float64        `json:"held_s,omitempty"` // remaining seconds of a manual hold
	Figures  []string       `json:"figures"`          // readable measurements that select the level
	Refusals []LevelRefusal `json:"refusals"`         // since the process started
	History  []LevelChange  `json:"history"`          // newest first
}

// LevelRefusal counts the requests that a level refused for one reason.
type LevelRefusal struct {
	Level string `json:"level"`
	Why   string `json:"why"`
	Count int64  `json:"count"`
}

// LevelChange records a change of level, or the start or end of a manual hold.
type LevelChange struct {
	At   time.Time `json:"at"`
	From string    `json:"from"`
	To   string    `json:"to"`
	Why  string    `json:"why"`
}

var errNoLevels = &api.Problem{Status: 404, Title: "there are no levels", Detail: "the operators' file configures none"}

func (s *Server) level(r *http.Request) (any, error) {
	v, err := s.service.instance.Level(r.Context())
	if err == nil && v == nil {
		err = errNoLevels
	}
	return v, err
}

const maxReasonBytes = 200

// holdLevel pins a level, or returns to automatic selection on DELETE.
func (s *Server) holdLevel(r *http.Request) (any, error) {
	var body struct {
		Level string  `json:"level"`
		For   float64 `json:"for_s"`
		Why   string  `json:"why"`
	}
	if r.Method == http.MethodPut {
		if err := api.Body(r, &body); err != nil {
			return nil, err
		}
		invalidField := func(field, format string, args ...any) error {
			return &api.Problem{Status: 422, Title: "invalid hold", Detail: fmt.Sprintf(format, args...), Field: field}
		}
		switch {
		case !(body.For > 0 && body.For <= maxHold.Seconds()):
			return nil, invalidField("for_s", "%v is not between 0 and %v", body.For, maxHold.Seconds())
		case body.Why == "" || len(body.Why) > maxReasonBytes:
			return nil, invalidField("why", "the reason has %d bytes; it must have 1 to %d", len(body.Why), maxReasonBytes)
		}
	}
	return s.runOnce(r, fmt.Sprintf("level %q %v", body.Level, body.For), func() (any, error) {
		v, err := s.service.instance.HoldLevel(r.Context(), body.Level, time.Duration(body.For*float64(time.Second)), body.Why)
		switch {
		case err != nil:
			return nil, &api.Problem{Status: 422, Title: "invalid hold", Detail: err.Error(), Field: "level"}
		case v == nil:
			return nil, errNoLevels
		}
		return v, nil
	})
}
