// Reads a stream of the platform's log and hands its records on in order.
//
//   log_follower Follower(std::string(operator_stream), Replica);
//   Follower.setFollowing(shouldFollow(Self, StewardsOfZone));
//   Follower.onTick(Now, Random, Effects);           // asks for more
//   Follower.onRecords(Read, Now, Random, Effects);  // feeds the replica
//
// One read is outstanding at a time. A read that fails is tried again after a
// backoff with jitter; one that is never answered is given up after
// `read_timeout`. When the platform has dropped the offset that is wanted, the
// follower looks for a snapshot record among those that are left, and starts
// from the first one whose later records are all at hand.

#ifndef MONSOONREEL_LOG_FOLLOWER_H
#define MONSOONREEL_LOG_FOLLOWER_H

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// Well over the time for which the platform holds an answer back (1 s), and
// short enough that a connection that went silent delays a change of the
// configuration by less than the 9 s in which it has to be in force.
constexpr duration read_timeout = std::chrono::seconds(3);
constexpr duration read_backoff_min = std::chrono::milliseconds(50);
constexpr duration read_backoff_max = std::chrono::seconds(2);
// Records that are kept while a snapshot is looked for.
constexpr size_t max_skipped_records = 20000;

// What is fed by a follower.
class log_replica {
public:
  virtual ~log_replica() = default;
  // The highest offset that is replayed.
  virtual log_offset applied() const = 0;
  // Replays the next record; Offset is applied() + 1.
  virtual void applyRecord(log_offset Offset, const std::string &Bytes,
                           steady_time Now, effect_list &Effects) = 0;
  // Starts from a snapshot record's state. False when it can't be used.
  virtual bool restoreSnapshot(log_offset Covers, const std::string &State,
                               steady_time Now, effect_list &Effects) = 0;
};

class log_follower {
public:
  log_follower(std::string Stream, log_replica &Replica);

  // A follower that is switched off reads nothing; its replica may be fed from
  // elsewhere meanwhile.
  void setFollowing(bool Following);
  bool isFollowing() const { return Following; }

  void onTick(steady_time Now, uint64_t Random, effect_list &Effects);
  // Ignore events of other streams.
  void onRecords(const log_records_read &Read, steady_time Now, uint64_t Random,
                 effect_list &Effects);
  void onFailure(const log_read_failed &Failure, steady_time Now,
                 uint64_t Random);

  // Whether all records up to the end that the platform last named are
  // replayed.
  bool isCaughtUp() const { return CaughtUp; }
  // A moment at which the log held nothing beyond what is replayed: before the
  // sending of the last read that reached the end. Nothing until then.
  std::optional<steady_time> freshAt() const { return FreshAt; }

private:
  // Replays those of Records that come next.
  void feedAll(const std::vector<wire::stored_record> &Records, steady_time Now,
               effect_list &Effects);
  // Looks for a snapshot, because the offset that is wanted was dropped.
  void search(const log_records_read &Read, steady_time Now,
              effect_list &Effects);
  // Starts from Record, if it is a snapshot and all records after its state
  // are at hand.
  bool tryRestore(const wire::stored_record &Record, steady_time Now,
                  effect_list &Effects);
  void stopSearch();
  void noteFailure(steady_time Now, uint64_t Random);
  log_offset wanted() const;

  std::string Stream;
  log_replica &Replica;
  bool Following = false;
  bool CaughtUp = false;
  std::optional<steady_time> ReadSent;
  steady_time NextRead = steady_time::min();
  int Failures = 0;
  std::optional<steady_time> FreshAt;

  // While a snapshot is looked for: the last records since the horizon, without
  // gaps.
  bool Searching = false;
  log_offset SearchNext;
  std::deque<wire::stored_record> Skipped;
};

// Followers of the log in each zone. The other nodes get the records from them.
constexpr size_t followers_per_zone = 2;

// The stewards of a zone in the order in which they follow the log: the first
// `followers_per_zone` do. Every node that knows the same stewards finds the
// same order.
std::vector<wire::member>
followingOrder(std::vector<wire::member> StewardsOfZone);

// Whether Self is one of the stewards of its zone that have to follow the log.
bool shouldFollow(const node_name &Self,
                  std::vector<wire::member> StewardsOfZone);

// A doubling backoff with jitter, from half of it to the whole.
duration backoffAfter(int Failures, duration Min, duration Max,
                      uint64_t Random);

} // namespace monsoonreel

#endif // MONSOONREEL_LOG_FOLLOWER_H
