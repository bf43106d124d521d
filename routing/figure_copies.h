// Copies of usage figures at other entries.
//
// The holder of the duties writes the figures of a window to the duty log
// before it reports them. A store that is restored from a backup may lose them,
// and the holder may be lost at the same time. The holder therefore has other
// entries keep the figures, and reports a window when enough of them do. A new
// holder asks all entries for figures before it sums up a window.
//
//   figure_copies Copies(Zone, MaxWait);
//   if (Copies.setTerm(Fence, Era, Now))         // nullopt: not the holder
//     Copies.setEntries(Others, Keepers);
//   for (figure_message &Each : Copies.takeMessages(Written, First, Now)) ...
//   if (Copies.hasAsked(Now)) ... sum up ...
//   Copies.countUnaware(EndedAt) ... entries that may never have had copies ...
//   if (Copies.areEnough(Window, Now)) ... report ...
//
// Load pattern: figures are sent once per window to each keeper. In large
// fleets the keepers are the relays of the zones, so their number grows with
// the number of zones. All entries are asked, because a keeper need not be a
// relay any more, but only once per term of a holder.

#ifndef ROUTING_FIGURE_COPIES_H
#define ROUTING_FIGURE_COPIES_H

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// Copies besides the log and the holder that a report needs, so that one may be
// lost together with the holder.
constexpr size_t needed_figure_copies = 2;
// A request without an answer is repeated after this time.
constexpr duration figure_retry_period = std::chrono::milliseconds(500);
// After this time one copy is enough, for example when all other zones are cut
// off.
constexpr duration figure_copies_wait = std::chrono::seconds(2);

// A request and the entries that it is for.
struct figure_message {
  std::vector<address> To;
  wire::figure_request Request;
};

class figure_copies {
public:
  // MaxWait: how long a new holder waits for entries that do not answer.
  figure_copies(zone_name Zone, duration MaxWait);

  // Sets the fencing token of this entry's lease, and the era of the store.
  // Returns whether a new term begins, as it does with a new token or era.
  bool setTerm(std::optional<int64_t> Fence, int64_t Era, steady_time Now);
  // Others: all live entries without this one. Chosen: those that are to keep
  // copies; with fewer than `needed_figure_copies`, all others do.
  void setEntries(const std::vector<wire::member> &Others,
                  const std::vector<address> &Chosen);
  // Returns what is to be sent now about the windows from First on. Written:
  // the figures in the log.
  std::vector<figure_message>
  takeMessages(const std::map<int64_t, wire::window_counts> &Written,
               int64_t First, steady_time Now);
  // Returns whether the reply belongs to this term.
  bool onReply(const address &From, const wire::figure_reply &Reply,
               steady_time Now);

  // Returns whether each live entry has told the figures that it knows, or has
  // had the time to.
  bool hasAsked(steady_time Now) const;
  // Returns the number of live entries that cannot tell whether figures were
  // written after Since: they have started later, or have not answered.
  size_t countUnaware(steady_time Since) const;
  // Returns the earliest time at which an entry that has answered knew the
  // store to be in the current era; steady_time::max() if none did.
  steady_time eraKnownSince() const;
  // Returns whether enough entries keep the figures of a window.
  bool areEnough(int64_t Window, steady_time Now) const;
  // Returns whether copies were asked for at least `figure_copies_wait` ago.
  bool isLate(int64_t Window, steady_time Now) const;

private:
  struct window {
    int64_t Digest = 0;
    steady_time FirstSent;
    std::set<address> Keepers; // entries that have confirmed
  };

  void addWindows(const std::map<int64_t, wire::window_counts> &Written,
                  int64_t First, steady_time Now);
  std::vector<int64_t> lackedBy(const address &Entry) const;

  zone_name Zone;
  duration MaxWait;
  std::optional<int64_t> Fence;
  int64_t Era = 0;
  steady_time TermStart;
  std::map<address, zone_name> Others;
  std::set<address> Keepers;
  // What entries that have told their figures said about themselves. Older
  // builds say nothing.
  struct answer {
    steady_time StartedAt = steady_time::max();
    steady_time EraKnownSince = steady_time::max();
  };
  std::map<address, answer> Answered;
  std::map<int64_t, window> Windows;
  std::map<address, steady_time> NextSend;
};

// Returns an entry's reply. Known: all figures that it knows, including those
// of the request that it keeps.
wire::figure_reply replyTo(const wire::figure_request &Request,
                           const std::vector<wire::window_counts> &Known);

} // namespace monsoonreel

#endif // ROUTING_FIGURE_COPIES_H
