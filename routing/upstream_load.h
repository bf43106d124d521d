// What all entries together have under way at each upstream.
//
//   upstream_load Load;
//   Load.begin(Attempt, Upstream, {UnreadTokens, Paced});
//   Load.onFirstAnswer(Attempt);        // its prompt has been read
//   Load.end(Attempt);
//   Load.onReport(From, Report, Now);   // from each other entry
//   Load.onZone(Told, IsOwn, Age, Now); // sums that a relay tells
//   upstream_use_sum Sum = Load.at(Upstream);
//
// Upstreams' own reports lag by hundreds of milliseconds and are read by all
// entries alike, so entries tell each other what they send in place of that.
//
// Entries are told apart by the addresses of their peer listeners: a message
// that comes over a connection that this entry opened names no sender.

#ifndef ROUTING_UPSTREAM_LOAD_H
#define ROUTING_UPSTREAM_LOAD_H

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// Figures of an entry that has not reported for so long no longer count.
constexpr duration report_expiry = std::chrono::seconds(2);

struct work_size {
  int64_t UnreadTokens = 0; // prompt tokens that the upstream has to read
  bool Paced = false;       // a stream that minds pauses between its events
};

struct upstream_use_sum {
  int Running = 0;
  int64_t UnreadTokens = 0;
  int PacedStreams = 0;
};

class upstream_load {
public:
  void begin(attempt_number Attempt, const upstream_name &Upstream,
             const work_size &Size);
  // The upstream has read the attempt's prompt.
  void onFirstAnswer(attempt_number Attempt);
  void end(attempt_number Attempt);

  void onReport(const address &From, const wire::entry_report &Report,
                steady_time Now);
  // The sums of a zone as of Age ago, in place of what was told of it before.
  // With IsOwn they hold what this entry has told of itself.
  void onZone(const wire::zone_uses &Told, bool IsOwn, duration Age,
              steady_time Now);
  void onTick(steady_time Now);

  upstream_use_sum at(const upstream_name &Upstream) const;
  // The own part.
  std::vector<wire::upstream_use> ownUses() const { return listOf(Own); }
  // The same for a report that leaves now.
  std::vector<wire::upstream_use> tellOwn(steady_time Now);
  // The own part and those of the entries that report to this one.
  std::vector<wire::upstream_use> sumOfEntries() const;
  int ownRunning(const upstream_name &Upstream) const;

private:
  struct open_attempt {
    upstream_name Upstream;
    work_size Size;
  };
  struct peer_uses {
    bool IsZone = false;
    int64_t Incarnation = 0;
    int64_t Sequence = 0;
    steady_time HeardAt;
    std::vector<wire::upstream_use> Uses;
  };
  using use_map = absl::flat_hash_map<upstream_name, upstream_use_sum>;

  static std::vector<wire::upstream_use> listOf(const use_map &Uses);
  // Replaces what Source has told.
  void replace(const address &Source, peer_uses New);
  // What was told of this entry when a relay made the sums that arrive now.
  const std::vector<wire::upstream_use> &toldBefore(steady_time Now) const;
  // Adds to the sums over all peers, or takes away again (Sign -1).
  void addToPeers(const std::vector<wire::upstream_use> &Uses, int Sign);

  absl::flat_hash_map<attempt_number, open_attempt> Open;
  use_map Own;
  absl::flat_hash_map<address, peer_uses> ByPeer; // entries and zones
  use_map Peers;                                  // sums over ByPeer
  steady_time NextExpiry = steady_time::min();
  std::vector<wire::upstream_use> Told; // in the last report
  std::vector<wire::upstream_use> ToldBefore;
  steady_time ToldAt = steady_time::min();
};

} // namespace monsoonreel

#endif // ROUTING_UPSTREAM_LOAD_H
