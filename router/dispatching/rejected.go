package dispatching

import (
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"ryelug/core/suspect"
	"ryelug/io/wire"
)

// rejectedRepeatInterval is the interval at which entries are told again which prompt parts to reject, so that one that
// has joined since learns of them, and carries them to the next dispatcher.
const rejectedRepeatInterval = time.Second

// logRejections logs the prompt parts whose rejection has begun here, with how this router learned of it.
func (r *Role) logRejections(now time.Time, cs *cellState) {
	rejecter, ok := cs.dispatcher.(partRejecter)
	if !ok {
		return
	}
	for _, one := range rejecter.TakeRejections() {
		fields := logrus.Fields{
			"cell": cs.id, "prompt_part": strconv.FormatUint(one.Part, 16), "source": one.Source.String(), "crashes": one.Crashes,
			"for_ms": one.Span.Milliseconds(), "entries": len(cs.entries),
		}
		if one.Source == suspect.Stored {
			fields["era"], fields["revision"], fields["record_age_ms"] = one.Record.Era, one.Record.Revision, now.Sub(one.Record.SavedAt).Milliseconds()
		}
		r.config.Log.WithFields(fields).Warn("Requests with a prompt part that crashes engines are rejected.")
	}
}

// sendRejected tells the entries of a cell which prompt parts crash engines: at once when there are others than
// before, and again at intervals while there are any.
func (r *Role) sendRejected(now time.Time, cs *cellState) {
	rejecter, ok := cs.dispatcher.(partRejecter)
	if !ok || len(cs.entries) == 0 {
		return
	}
	parts := rejecter.Rejected()
	ids := make([]uint64, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}
	isSame := slices.Equal(ids, cs.rejectedSent)
	if isSame && (len(ids) == 0 || now.Sub(cs.rejectedAt) < rejectedRepeatInterval) {
		return
	}
	cs.rejectedSent, cs.rejectedAt = ids, now
	for router, session := range cs.entries {
		r.config.Send(router, &wire.Rejected{Cell: cs.id, Session: session, Parts: parts})
	}
}
