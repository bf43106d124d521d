// Reads a stream of the platform's log and applies its records to a replica in
// order.
//
//   log_follower Follower(std::string(operator_stream), Replica);
//   Follower.setFollowing(shouldFollowLog(Self, StewardsOfZone));
//   Follower.onTick(Now, Random, Effects);           // requests records
//   Follower.onRecords(Read, Now, Random, Effects);  // applies them
//
// One read is outstanding at a time. A failed read is retried after a backoff
// with jitter; a read that is not answered times out after `read_timeout`. If
// the platform no longer has the next offset, the follower searches the
// remaining records for a snapshot, and restores the first one for which all
// records after the covered offset are available.

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

// Well above the time for which the platform delays an answer while it waits
// for a record (1 s), and short enough that an unresponsive connection delays a
// configuration change by less than the 9 s within which it must take effect.
constexpr duration read_timeout = std::chrono::seconds(3);
constexpr duration read_backoff_min = std::chrono::milliseconds(50);
constexpr duration read_backoff_max = std::chrono::seconds(2);
// Records that are kept during the search for a snapshot.
constexpr size_t max_skipped_records = 20000;

// Receives the records that a follower reads.
class log_replica {
public:
  virtual ~log_replica() = default;
  // The highest offset that has been replayed.
  virtual log_offset applied() const = 0;
  // Replays the next record; Offset is applied() + 1.
  virtual void applyRecord(log_offset Offset, const std::string &Bytes,
                           steady_time Now, effect_list &Effects) = 0;
  // Replaces the state by State, the state in a snapshot record, which covers
  // all records up to Covers. Returns false if State can't be used.
  virtual bool restoreSnapshot(log_offset Covers, const std::string &State,
                               steady_time Now, effect_list &Effects) = 0;
};

class log_follower {
public:
  log_follower(std::string Stream, log_replica &Replica);

  // While this is false, the follower reads nothing; its replica may receive
  // records from another source, such as a peer.
  void setFollowing(bool Following);
  bool isFollowing() const { return Following; }

  void onTick(steady_time Now, uint64_t Random, effect_list &Effects);
  // Both functions ignore events of other streams.
  void onRecords(const log_records_read &Read, steady_time Now, uint64_t Random,
                 effect_list &Effects);
  void onFailure(const log_read_failed &Failure, steady_time Now,
                 uint64_t Random);

  // Whether all records up to the end of the stream, as last reported by the
  // platform, have been replayed.
  bool isCaughtUp() const { return CaughtUp; }
  // A time at which the log contained no records beyond those replayed: when
  // the last read that reached the end was sent. Empty if there was none.
  std::optional<steady_time> freshAt() const { return FreshAt; }

private:
  // Replays the records in Records that continue from the applied offset.
  void replayAll(const std::vector<wire::stored_record> &Records,
                 steady_time Now, effect_list &Effects);
  // Searches for a snapshot, because the platform has dropped the next offset.
  void search(const log_records_read &Read, steady_time Now,
              effect_list &Effects);
  // Restores Record if it is a snapshot and all records after the offset that
  // it covers are available.
  bool tryRestore(const wire::stored_record &Record, steady_time Now,
                  effect_list &Effects);
  void stopSearch();
  void onReadFailed(steady_time Now, uint64_t Random);
  log_offset nextOffset() const;

  std::string Stream;
  log_replica &Replica;
  bool Following = false;
  bool CaughtUp = false;
  std::optional<steady_time> ReadSent;
  steady_time NextRead = steady_time::min();
  int Failures = 0;
  std::optional<steady_time> FreshAt;

  // During the search for a snapshot: the latest records since the horizon,
  // without gaps.
  bool Searching = false;
  log_offset SearchNext;
  std::deque<wire::stored_record> Skipped;
};

// Followers of the log in each zone. The other nodes receive the records from
// them.
constexpr size_t followers_per_zone = 2;

// The stewards of a zone in the order in which they are chosen to follow the
// log; the first `followers_per_zone` follow it. The order depends only on the
// set of stewards, so all nodes with the same set compute the same order.
std::vector<wire::member>
logFollowerOrder(std::vector<wire::member> StewardsOfZone);

// Whether Self is one of the stewards of its zone that follow the log.
bool shouldFollowLog(const node_name &Self,
                     std::vector<wire::member> StewardsOfZone);

// Exponential backoff with jitter: a random time between half of the backoff
// and the whole backoff, which doubles with each failure from Min up to Max.
duration backoffAfter(int Failures, duration Min, duration Max,
                      uint64_t Random);

} // namespace monsoonreel

#endif // MONSOONREEL_LOG_FOLLOWER_H
