package control

import (
	"fmt"
	"net/http"
	"time"

	"example.org/micaline/internal/api"
)

// Level is the level of reduced service that an instance is in.
type Level struct {
	Level    string         `json:"level"`
	Levels   []string       `json:"levels"`           // from normal service on
	For      float64        `json:"for_s"`            // that it has been in force
	Dwell    float64        `json:"dwell_s"`          // that it is kept at least
	Held     float64        `json:"held_s,omitempty"` // that it is still held by hand
	Figures  []string       `json:"figures"`          // as they are judged
	Refusals []LevelRefusal `json:"refusals"`         // since the process began
	History  []LevelChange  `json:"history"`          // the newest first
}

// LevelRefusal counts what a level has turned away for one reason.
type LevelRefusal struct {
	Level string `json:"level"`
	Why   string `json:"why"`
	Count int64  `json:"count"`
}

// LevelChange is a change of level, or of who keeps it.
type LevelChange struct {
	At   time.Time `json:"at"`
	From string    `json:"from"`
	To   string    `json:"to"`
	Why  string    `json:"why"`
}

var errNoLevels = &api.Problem{Status: 404, Title: "there are no levels", Detail: "the operators' file names none"}

func (s *Server) level(r *http.Request) (any, error) {
	v, err := s.service.instance.Level(r.Context())
	if err == nil && v == nil {
		err = errNoLevels
	}
	return v, err
}

const maxReasonBytes = 200

// holdLevel keeps a level by hand, or lets the figures decide again.
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
			return &api.Problem{Status: 422, Title: "the hold can't be used", Detail: fmt.Sprintf(format, args...), Field: field}
		}
		switch {
		case !(body.For > 0 && body.For <= maxHold.Seconds()):
			return nil, invalidField("for_s", "%v is not between 0 and %v", body.For, maxHold.Seconds())
		case body.Why == "" || len(body.Why) > maxReasonBytes:
			return nil, invalidField("why", "it has %d bytes, and 1 to %d are wanted", len(body.Why), maxReasonBytes)
		}
	}
	return s.runOnce(r, fmt.Sprintf("level %q %v", body.Level, body.For), func() (any, error) {
		v, err := s.service.instance.HoldLevel(r.Context(), body.Level, time.Duration(body.For*float64(time.Second)), body.Why)
		switch {
		case err != nil:
			return nil, &api.Problem{Status: 422, Title: "the hold can't be used", Detail: err.Error(), Field: "level"}
		case v == nil:
			return nil, errNoLevels
		}
		return v, nil
	})
}
