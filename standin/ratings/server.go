package ratings

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/wigeonusher/wigeonusher/coord/platform"
	"github.com/wigeonusher/wigeonusher/standin/answer"
	"github.com/wigeonusher/wigeonusher/standin/server"
)

// Defaults of a [Config], and the maximum size of a page.
const (
	DefaultDelay = 200 * time.Millisecond
	DefaultShare = 0.9

	maxPageRatings = 1000
)

// Config configures the rating service. Zero fields take the defaults.
type Config struct {
	Seed uint64
	// Delay is the time from the submission of an answer to its rating.
	Delay time.Duration
	// Share is the probability, in [0, 1], that an answer is rated.
	Share float64
	Now   func() time.Time
}

// delayedRating is a rating that readers see from visibleAt on.
type delayedRating struct {
	rating    platform.Rating
	visibleAt time.Time
}

// Server is the rating service.
type Server struct {
	*server.Server
	config Config

	mu          sync.Mutex
	bySubmitter map[platform.InstanceID][]delayedRating
}

// New returns a rating service without ratings.
func New(config Config) *Server {
	if config.Delay == 0 {
		config.Delay = DefaultDelay
	}
	if config.Share == 0 {
		config.Share = DefaultShare
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	s := &Server{
		Server:      server.New(config.Seed),
		config:      config,
		bySubmitter: map[platform.InstanceID][]delayedRating{},
	}
	s.Router.POST("/v1/answers", s.handleSubmit)
	s.Router.GET("/v1/ratings", s.handleRatings)
	return s
}

// RatingCount returns the number of ratings, including those still delayed.
func (s *Server) RatingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, list := range s.bySubmitter {
		total += len(list)
	}
	return total
}

func (s *Server) handleSubmit(c echo.Context) error {
	var submitted platform.RatingRequest
	if err := server.Decode(c, &submitted); err != nil {
		return err
	}
	parsed, err := answer.ParseHeader(submitted.Answer)
	if err == nil && s.Faults.Draw(s.config.Share) {
		s.add(platform.InstanceID(c.QueryParam("submitter")), platform.Rating{
			RequestID: submitted.RequestID,
			Score:     parsed.Quality,
		})
	}
	return c.NoContent(http.StatusAccepted)
}

func (s *Server) add(submitter platform.InstanceID, rating platform.Rating) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := delayedRating{rating: rating, visibleAt: s.config.Now().Add(s.config.Delay)}
	s.bySubmitter[submitter] = append(s.bySubmitter[submitter], entry)
}

type ratingsPage struct {
	Ratings []platform.Rating `json:"ratings"`
	Next    uint64            `json:"next"`
}

func (s *Server) handleRatings(c echo.Context) error {
	cursor, err := strconv.ParseUint("0"+c.QueryParam("cursor"), 10, 62)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "cursor is not a number")
	}
	return c.JSON(http.StatusOK, s.page(platform.InstanceID(c.QueryParam("submitter")), cursor))
}

// page returns the visible ratings of the submitter's answers from the cursor on,
// at most maxPageRatings.
func (s *Server) page(submitter platform.InstanceID, cursor uint64) ratingsPage {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.bySubmitter[submitter]
	result := ratingsPage{Ratings: []platform.Rating{}, Next: min(cursor, uint64(len(all)))}
	now := s.config.Now()
	for _, entry := range all[result.Next:] {
		if entry.visibleAt.After(now) || len(result.Ratings) == maxPageRatings {
			break
		}
		result.Ratings = append(result.Ratings, entry.rating)
		result.Next++
	}
	return result
}
