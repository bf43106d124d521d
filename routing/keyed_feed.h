// Keeps the newest value of every key of one feed of the platform's store up to
// date. A few entries read the store and pass the records on to the others.
//
//   keyed_feed Feed({"servers", milliseconds(500), milliseconds(0)});
//   Feed.onTick(Now, Rank, Effects);           // reads when it is due
//   for (const feed_change &Change : Feed.onRead(Read, Now, Effects)) ...
//   for (const feed_change &Change : Feed.onNews(News, Now)) ...
//
// An entry reads the store when it has received nothing new within its read
// delay, which grows with its rank among the live entries. Usually only the
// first entry reads and sends the news to the others. When it fails or is cut
// off, the read delay of the next entry expires. An entry that is cut off from
// the others reads by itself.
//
// Where relays pass news on, a read without news is not announced. Instead each
// entry sends a mark with the newest offset up to which it knows the feed to
// have been read:
//
//   Report.Feeds.push_back(Feed.mark(Now));
//   Feed.onMark(Mark, Now);
//
// In a large fleet most entries are later readers: several other entries read
// before them. While the store fails, the earlier readers detect its recovery,
// and the later readers call it only rarely.
//
// A reader that missed records, because the store's history was truncated or
// the news had a gap, reads the newest record of every key again. Keys that are
// missing from that read have been removed.
//
// The same applies after the store was restored from a backup:
//
//   Feed.onEra(Era, Now, /*FromPeer=*/false);
//
// Offsets of the previous era are not comparable with those of the new one, so
// answers and news of the previous era are ignored from then on.

#ifndef ROUTING_KEYED_FEED_H
#define ROUTING_KEYED_FEED_H

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "routing/routing_effect.h"
#include "routing/routing_event.h"
#include "routing/store_position.h"

namespace monsoonreel {

struct feed_terms {
  std::string Name;
  // Time between the answer to one read and the next read.
  duration Period{};
  // How long the store holds a read open until there is news.
  duration Wait{};
  // Returns whether other entries need to receive a record. It is called before
  // this entry applies the record. If unset, other entries need every record.
  // They treat the keys of records that they do not receive as unchanged.
  std::function<bool(const wire::feed_record &)> IsNews = nullptr;
  // Added to the read delay of a later reader.
  duration LaterReaderDelay{};
  // Time from a failed read to the next one, for a later reader.
  duration LaterReaderRetry{};
};

// Tolerance for the delay of a reader's news.
constexpr duration reader_slack = std::chrono::milliseconds(150);
// Added to the read delay for each place in the order of readers. It is short,
// so that the news are not late when the store rejects several readers in a
// row.
constexpr duration reader_stagger = std::chrono::milliseconds(100);
// A read without an answer for this long after its wait time has timed out and
// is sent again.
constexpr duration feed_read_timeout = std::chrono::milliseconds(900);
// Delay after a failed read, so that an outage does not cause a flood of calls.
constexpr duration feed_retry_period = std::chrono::milliseconds(400);
// Shortest failure of the store that counts as an outage. The entry of an
// upstream lapses only after several missed reports, so a shorter failure does
// not make any entry lapse.
constexpr duration shortest_outage = std::chrono::seconds(1);
// Higher ranks have the same read delay as this one.
constexpr size_t last_reader_rank = 8;

// Maximum delay of news after a mark that refers to them.
constexpr duration news_arrival_timeout = std::chrono::milliseconds(300);

// Added for each place to the delay of reads after a restore of the store, so
// that hundreds of entries do not read everything at once.
constexpr duration restored_read_stagger = std::chrono::milliseconds(5);

// Maximum size in bytes of one round of news to all other entries: requests
// wait behind them for at most 0.4 s on a link of 10 Mbit/s. For larger news
// only the end offset is sent, and each entry reads the records from the store,
// which costs one call per entry.
constexpr size_t max_news_bytes = size_t{512} << 10;

struct feed_change {
  std::string Key;
  std::optional<std::string> Value; // empty: the key was removed
  // The record was appended while the store could not be read, or the store was
  // restored from a backup. If the record is a removal, its cause may be only
  // that the key's owner could not reach the store either, or has not yet
  // written the key again.
  bool AfterOutage = false;
  // The key is missing from a read of the whole feed; no record of its removal
  // was read.
  bool IsMissing = false;
};

class keyed_feed {
public:
  explicit keyed_feed(feed_terms Terms);

  // Rank: this entry's place in the order of readers; 0 is the first.
  void onTick(steady_time Now, size_t Rank, routing_effects &Effects);
  // Returns the changes found by a read of this entry. Adds to Effects the
  // messages that pass the records on to other entries.
  std::vector<feed_change> onRead(const feed_read &Read, steady_time Now,
                                  routing_effects &Effects);
  // Sets whether this entry is a later reader: enough live entries read before
  // it, also in its own zone.
  void setLaterReader(bool IsLater) { IsLaterReader = IsLater; }
  // Sets the number of other entries to which this one sends the records that
  // it reads.
  void setRecipientCount(size_t Count) { RecipientCount = Count; }
  // Sets how long marks take to reach all entries. Unset: nothing is relayed,
  // and every read is announced to all entries.
  void setMarkDelay(std::optional<duration> Delay) { MarkDelay = Delay; }
  wire::feed_mark mark(steady_time Now) const;
  void onMark(const wire::feed_mark &Mark, steady_time Now);
  void onReadFailed(const feed_read_failed &Failed, steady_time Now);
  // Returns the changes of a read by another entry.
  std::vector<feed_change> onNews(const wire::feed_news &News, steady_time Now);
  // Handles the store's era, as stated by the store or by a peer. If a peer
  // stated a new era, the news of an earlier reader are expected, and this
  // entry reads the store only if they do not arrive. Has to be called before
  // the answer, mark or news that states the era is handled.
  void onEra(int64_t Era, steady_time Now, bool FromPeer);

  const std::string &name() const { return Terms.Name; }
  bool isKnown() const { return Known; }
  // Time since this entry was last known to be up to date.
  duration age(steady_time Now) const { return Now - FreshAt; }
  int64_t end() const { return End.Offset; }
  const store_position &position() const { return End; }
  // True from a failed own read until a later read by this or another entry
  // succeeds.
  bool isStoreFailing() const { return Failing; }
  // Time of the last failed read; steady_time::min() if none has failed.
  steady_time lastFailure() const { return FailedAt; }

private:
  // RecordsEnd: end of the feed as of the read that returned Records.
  std::vector<feed_change> apply(const std::vector<wire::feed_record> &Records,
                                 bool Whole, const store_position &RecordsEnd,
                                 bool AfterOutage);
  // Positions stated without an era, as older builds do, are of this era.
  store_position positionAt(int64_t Era, int64_t Offset) const;
  wire::feed_news packForSending(wire::feed_news News) const;
  duration readDelay(size_t Rank) const;
  duration restoredReadDelay(size_t Rank) const;
  const char *readReason() const;
  // Handles a successful read of the store at Fresh by any entry.
  void onStoreRead(steady_time Fresh);
  wire::feed_news newsOf(const feed_read &Read, bool AfterOutage) const;
  void announceToAll(const feed_read &Read, bool AfterOutage, steady_time Now,
                     routing_effects &Effects);
  void announceThroughRelays(const feed_read &Read, bool AfterOutage,
                             steady_time Now, routing_effects &Effects);

  feed_terms Terms;
  size_t RecipientCount = 0;
  bool IsLaterReader = false;
  bool Known = false;
  bool NeedsWhole = true;
  bool Failing = false;
  bool MissedNews = false; // records before the last news are missing
  // The store was restored, and its current records are not known yet.
  bool IsRestored = false;
  // Time at which a peer told of that; unset if the store itself did.
  std::optional<steady_time> ToldAt;
  bool IsReadStale = false; // the open read was sent before that
  std::optional<duration> MarkDelay;
  // Newest known state of the reader: from its marks or its news, or from own
  // reads when this entry is the reader.
  struct reader_mark {
    store_position News; // end of the last records that were news
    store_position End;
    steady_time FreshAt;
    // Number of the read. A mark of one read arrives by several ways, and its
    // age does not include the time in transit, so only the first mark of a
    // read counts.
    int64_t Reads = 0;
  };
  reader_mark LatestMark;
  bool IsCatchingUp = false;       // the open read is not announced
  bool HasUnannouncedNews = false; // such a read found news
  // Time since which a mark refers to news that have not arrived.
  std::optional<steady_time> MarkAheadSince;
  store_position End;
  absl::flat_hash_map<std::string, store_position> PositionOf;
  steady_time FreshAt;
  steady_time FailedAt = steady_time::min();
  steady_time FailingSince; // while Failing
  steady_time NextRead = steady_time::min();
  std::optional<steady_time> ReadSentAt;
};

} // namespace monsoonreel

#endif // ROUTING_KEYED_FEED_H
