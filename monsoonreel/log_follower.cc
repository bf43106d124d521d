#include "monsoonreel/log_follower.h"

#include <algorithm>
#include <utility>

#include "monsoonreel/rendezvous.h"

namespace monsoonreel {

namespace {

// Interval between two reads while the log has no new records, for platforms
// that answer such reads at once instead of waiting for a record.
constexpr duration idle_read_interval = std::chrono::milliseconds(20);

// Caps the shift. Every backoff reaches its maximum after fewer doublings.
constexpr int max_doublings = 16;

} // namespace

log_follower::log_follower(std::string Stream, log_replica &Replica)
    : Stream(std::move(Stream)), Replica(Replica) {}

void log_follower::setFollowing(bool Follow) {
  if (Following == Follow)
    return;
  Following = Follow;
  CaughtUp = false;
  stopSearch();
}

log_offset log_follower::nextOffset() const {
  return log_offset{Replica.applied().Value + 1};
}

void log_follower::onTick(steady_time Now, uint64_t Random,
                          effect_list &Effects) {
  if (ReadSent && Now - *ReadSent > read_timeout)
    onReadFailed(Now, Random);
  if (!Following || ReadSent || Now < NextRead)
    return;
  ReadSent = Now;
  Effects.push_back(read_log{Stream, Searching ? SearchNext : nextOffset()});
}

void log_follower::onRecords(const log_records_read &Read, steady_time Now,
                             uint64_t Random, effect_list &Effects) {
  if (Read.Stream != Stream)
    return;
  std::optional<steady_time> Sent = std::exchange(ReadSent, std::nullopt);
  Failures = 0;
  NextRead = Read.Records.empty() ? Now + idle_read_interval : Now;
  if (!Following)
    return;
  if (Read.Horizon > nextOffset())
    search(Read, Now, Effects);
  else
    replayAll(Read.Records, Now, Effects);
  CaughtUp = !Searching && nextOffset() >= Read.End;
  if (CaughtUp && Sent)
    FreshAt = Sent;
  if (Read.End < nextOffset())
    Effects.push_back(
        log_line{log_level::Error,
                 "stream " + Stream + " ends before the last replayed offset"});
  onTick(Now, Random, Effects);
}

void log_follower::replayAll(const std::vector<wire::stored_record> &Records,
                             steady_time Now, effect_list &Effects) {
  stopSearch();
  for (const wire::stored_record &Record : Records)
    if (Record.Offset == nextOffset().Value)
      Replica.applyRecord(log_offset{Record.Offset}, Record.Bytes, Now,
                          Effects);
}

void log_follower::search(const log_records_read &Read, steady_time Now,
                          effect_list &Effects) {
  if (!Searching || SearchNext < Read.Horizon) {
    stopSearch();
    Searching = true;
    SearchNext = Read.Horizon;
    Effects.push_back(
        log_line{log_level::Info, "stream " + Stream + " starts at " +
                                      std::to_string(Read.Horizon.Value) +
                                      ": looking for a snapshot"});
  }
  for (const wire::stored_record &Record : Read.Records) {
    if (Record.Offset != SearchNext.Value)
      continue;
    ++SearchNext.Value;
    Skipped.push_back(Record);
    if (Skipped.size() > max_skipped_records)
      Skipped.pop_front();
    if (tryRestore(Record, Now, Effects))
      return;
  }
}

bool log_follower::tryRestore(const wire::stored_record &Record,
                              steady_time Now, effect_list &Effects) {
  auto Decoded = decodeRecord(Record.Bytes);
  if (!Decoded || !Decoded->__isset.Snapshot)
    return false;
  const wire::snapshot &Snapshot = Decoded->Snapshot;
  // All records between the covered offset and the snapshot record are needed.
  if (Snapshot.CoversOffset + 1 < Skipped.front().Offset ||
      Snapshot.CoversOffset >= Record.Offset)
    return false;
  if (!Replica.restoreSnapshot(log_offset{Snapshot.CoversOffset},
                               Snapshot.State, Now, Effects))
    return false;
  std::deque<wire::stored_record> Tail = std::move(Skipped);
  stopSearch();
  for (const wire::stored_record &Next : Tail)
    if (Next.Offset == nextOffset().Value)
      Replica.applyRecord(log_offset{Next.Offset}, Next.Bytes, Now, Effects);
  return true;
}

void log_follower::stopSearch() {
  Searching = false;
  Skipped.clear();
}

void log_follower::onFailure(const log_read_failed &Failure, steady_time Now,
                             uint64_t Random) {
  if (Failure.Stream == Stream)
    onReadFailed(Now, Random);
}

void log_follower::onReadFailed(steady_time Now, uint64_t Random) {
  ReadSent.reset();
  CaughtUp = false;
  ++Failures;
  NextRead =
      Now + backoffAfter(Failures, read_backoff_min, read_backoff_max, Random);
}

std::vector<wire::member>
logFollowerOrder(std::vector<wire::member> StewardsOfZone) {
  return rendezvousOrder("log", std::move(StewardsOfZone));
}

bool shouldFollowLog(const node_name &Self,
                     std::vector<wire::member> StewardsOfZone) {
  std::vector<wire::member> Order = logFollowerOrder(std::move(StewardsOfZone));
  size_t Count = std::min(Order.size(), followers_per_zone);
  return std::any_of(
      Order.begin(), Order.begin() + static_cast<std::ptrdiff_t>(Count),
      [&](const wire::member &M) { return M.Name == Self.Value; });
}

duration backoffAfter(int Failures, duration Min, duration Max,
                      uint64_t Random) {
  int Doublings = std::clamp(Failures - 1, 0, max_doublings);
  duration Full = std::min(Max, Min * (int64_t{1} << Doublings));
  duration Half = Full / 2;
  auto Span = static_cast<uint64_t>(Half.count()) + 1;
  return Half + duration(static_cast<int64_t>(Random % Span));
}

} // namespace monsoonreel
