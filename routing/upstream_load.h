// Load of each upstream by the requests of all entries.
//
//   upstream_load Load;
//   Load.begin(Attempt, Upstream, {UnreadTokens, Paced});
//   Load.onFirstAnswer(Attempt);        // its prompt has been read
//   Load.end(Attempt);
//   Load.onReport(From, Report, Now);   // from each other entry
//   Load.onZone(Uses, IsOwn, Age, Now); // sums that a relay sends
//   Load.onGranted(To, Upstream, Size, Now); // a relay has placed a request
//   upstream_use_sum Sum = Load.at(Upstream);
//
// The reports of the upstreams themselves lag by hundreds of milliseconds, and
// all entries would react to them alike. Entries therefore report to each other
// what they send.
//
// Entries are identified by the addresses of their peer listeners, because a
// message on a connection that this entry opened names no sender.

#ifndef ROUTING_UPSTREAM_LOAD_H
#define ROUTING_UPSTREAM_LOAD_H

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// Reports of an entry expire after this time.
constexpr duration report_expiry = std::chrono::seconds(2);
// A granted place that no report covers expires after this time: two intervals
// of entries' reports, and two more of relays' reports for an entry of another
// zone.
constexpr duration grant_expiry = std::chrono::milliseconds(250);
constexpr duration other_zone_grant_expiry = std::chrono::milliseconds(500);
// Sums that a relay sends include what its entries did this long before.
constexpr duration entry_report_delay = std::chrono::milliseconds(110);

struct work_size {
  int64_t UnreadTokens = 0; // prompt tokens that the upstream has to read
  bool Paced = false;       // sensitive to pauses between its events
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
  // Replaces the load of a zone by its sums as of Age ago. With IsOwn, the sums
  // include what this entry has reported itself.
  void onZone(const wire::zone_uses &Uses, bool IsOwn, duration Age,
              steady_time Now);
  // Counts a request that an entry was told to send to the upstream, until a
  // report of that entry, or of the relay of its zone, includes it, or until it
  // expires. OtherZone is empty if the entry is in the own zone.
  void onGranted(const address &To, const zone_name &OtherZone,
                 const upstream_name &Upstream, const work_size &Size,
                 steady_time Now);
  void onTick(steady_time Now);

  upstream_use_sum at(const upstream_name &Upstream) const;
  // Returns the load by this entry's requests.
  std::vector<wire::upstream_use> ownUses() const { return listOf(Own); }
  // Returns ownUses() for a report that is sent now, and stores it, because
  // sums that a relay sends later include it.
  std::vector<wire::upstream_use> reportOwnUses(steady_time Now);
  // Returns the load by this entry and the entries that report to it.
  std::vector<wire::upstream_use> sumOfEntries() const;
  // Returns the age of the oldest report that counts requests at the upstream;
  // nothing if there is none.
  std::optional<duration> reportAge(const upstream_name &Upstream,
                                    steady_time Now) const;
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
    steady_time ReceivedAt;
    std::vector<wire::upstream_use> Uses;
  };
  struct granted_place {
    address To;
    zone_name OtherZone; // empty: the entry is in the own zone
    upstream_name Upstream;
    work_size Size;
    steady_time At;
  };
  using use_map = absl::flat_hash_map<upstream_name, upstream_use_sum>;

  static std::vector<wire::upstream_use> listOf(const use_map &Uses);
  // Replaces the load that Source has reported.
  void replace(const address &Source, peer_uses New);
  // Removes the places for which Pred returns true.
  template <typename Predicate> void removeGranted(const Predicate &Pred);
  void subtractGranted(const granted_place &Place);
  // Returns the own load that is included in a relay's sums that arrive now.
  const std::vector<wire::upstream_use> &
  usesInRelayedSum(steady_time Now) const;
  // Adds Uses to the sums over all peers, or subtracts them if Sign is -1.
  void addToPeers(const std::vector<wire::upstream_use> &Uses, int Sign);

  absl::flat_hash_map<attempt_number, open_attempt> Open;
  use_map Own;
  absl::flat_hash_map<address, peer_uses> ByPeer; // entries and zones
  use_map Peers;                                  // sums over ByPeer
  std::deque<granted_place> GrantedPlaces;        // in order of time
  use_map Granted;                                // sums over GrantedPlaces
  steady_time NextExpiry = steady_time::min();
  std::vector<wire::upstream_use> LastReported;
  std::vector<wire::upstream_use> PreviouslyReported;
  steady_time ReportedUsesAt = steady_time::min();
};

} // namespace monsoonreel

#endif // ROUTING_UPSTREAM_LOAD_H
