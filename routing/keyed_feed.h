// The newest value of every key of one feed of the platform's store, kept up
// to date by a few readers that pass it on.
//
//   keyed_feed Feed({"servers", milliseconds(500), milliseconds(0)});
//   Feed.onTick(Now, Rank, Effects);           // reads when it is due
//   for (const feed_change &Change : Feed.onRead(Read, Now, Effects)) ...
//   for (const feed_change &Change : Feed.onNews(News, Now)) ...
//
// Each entry reads when it has heard nothing new for its patience, which grows
// with its rank among the live entries. So usually only the first one reads
// and tells the others; when it is gone or cut off, the next one's patience
// ends. A cut off entry reads by itself.
//
// Where relays pass news on, reads without any are not told. Each entry then
// tells how far it knows the feed:
//
//   Report.Feeds.push_back(Feed.mark(Now));
//   Feed.onMark(Mark, Now);
//
// In a large fleet most entries are later readers: while the store fails, the
// earlier ones find out when it is back, and these ask it only now and then.
//
// A reader that missed records, because the store's history was cut or the
// news had a gap, reads the newest record of every key anew. Keys that are
// missing then are gone.

#ifndef ROUTING_KEYED_FEED_H
#define ROUTING_KEYED_FEED_H

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "routing/routing_effect.h"
#include "routing/routing_event.h"

namespace monsoonreel {

struct feed_terms {
  std::string Name;
  // Between the answer to one read and the next read.
  duration Period{};
  // How long the store holds a read back until there is news.
  duration Wait{};
  // Whether other entries need to be told of a record, which this entry has not
  // applied yet; unset: of every one. They take the others as unchanged.
  std::function<bool(const wire::feed_record &)> IsNews = nullptr;
  // Of later readers: added to their patience.
  duration LaterPatience{};
  // Of later readers: from a failed read to the next one.
  duration LaterRetry{};
};

// How much later than expected a reader's news may be.
constexpr duration reader_slack = std::chrono::milliseconds(150);
// Added to the patience for each place in the order of readers. Short, so that
// several readers that are turned away together don't make the news late.
constexpr duration reader_stagger = std::chrono::milliseconds(100);
// A read without an answer for so long beyond its wait is sent again.
constexpr duration feed_read_timeout = std::chrono::milliseconds(900);
// After a failed read, so that an outage is not met with a flood of calls.
constexpr duration feed_retry_period = std::chrono::milliseconds(400);
// Upstreams miss several reports before their entries lapse, so a store that
// could not be read for less than this made none of them lapse.
constexpr duration shortest_outage = std::chrono::seconds(1);
// Ranks beyond this one have the patience of this one.
constexpr size_t last_reader_rank = 8;

// News may come so much later than a mark that speaks of them.
constexpr duration late_news_time = std::chrono::milliseconds(300);

// Bytes of one round of news to all other entries: requests wait behind them
// for 0.4 s at most on a link of 10 Mbit/s. Of larger news only the end is
// told, and each entry reads them from the store, which costs a call each.
constexpr size_t max_news_bytes = size_t{512} << 10;

struct feed_change {
  std::string Key;
  std::optional<std::string> Value; // empty: the key is gone
  // The record was appended while the store could not be read, so the key may
  // be gone only because its owner could not reach the store either.
  bool AfterOutage = false;
};

class keyed_feed {
public:
  explicit keyed_feed(feed_terms Terms);

  // Rank: this entry's place in the order of readers, 0 for the first.
  void onTick(steady_time Now, size_t Rank, routing_effects &Effects);
  // Changes by an own read. What was read is passed on by Effects.
  std::vector<feed_change> onRead(const feed_read &Read, steady_time Now,
                                  routing_effects &Effects);
  // Whether others that this entry hears of read before it, in its zone too.
  void setLaterReader(bool IsLater) { IsLaterReader = IsLater; }
  // How many other entries this one sends what it reads.
  void setListeners(size_t Count) { Listeners = Count; }
  // How long marks take to reach all entries; unset: nothing is relayed and
  // every read is told.
  void setMarkDelay(std::optional<duration> Delay) { MarkDelay = Delay; }
  wire::feed_mark mark(steady_time Now) const;
  void onMark(const wire::feed_mark &Mark, steady_time Now);
  void onReadFailed(const feed_read_failed &Failed, steady_time Now);
  // Changes that another entry read.
  std::vector<feed_change> onNews(const wire::feed_news &News, steady_time Now);

  const std::string &name() const { return Terms.Name; }
  bool isKnown() const { return Known; }
  // Since this entry last heard that it has everything.
  duration age(steady_time Now) const { return Now - FreshAt; }
  int64_t end() const { return End; }
  // A failed own read is the latest that is known of the store; another entry's
  // successful one ends it.
  bool isStoreFailing() const { return Failing; }
  // When reads last failed; steady_time::min() if never.
  steady_time lastFailure() const { return FailedAt; }

private:
  std::vector<feed_change> apply(const std::vector<wire::feed_record> &Records,
                                 bool Whole, bool AfterOutage);
  wire::feed_news tellable(wire::feed_news News) const;
  duration patience(size_t Rank) const;
  const char *readReason() const;
  // The store was read at Fresh, by whichever entry.
  void onStoreRead(steady_time Fresh);
  wire::feed_news newsOf(const feed_read &Read, bool AfterOutage) const;
  void tellAll(const feed_read &Read, bool AfterOutage, steady_time Now,
               routing_effects &Effects);
  void tellByRelays(const feed_read &Read, bool AfterOutage, steady_time Now,
                    routing_effects &Effects);

  feed_terms Terms;
  size_t Listeners = 0;
  bool IsLaterReader = false;
  bool Known = false;
  bool NeedsWhole = true;
  bool Failing = false;
  bool MissedNews = false; // news came with a gap before them
  std::optional<duration> MarkDelay;
  // Of the reader, by its marks or its news, or of this entry when it is the
  // reader.
  struct heard_mark {
    int64_t News = 0; // end of the last records that said anything new
    int64_t End = 0;
    steady_time FreshAt;
    // Word of one read comes by several ways and comes back. Each way takes
    // time that its age does not hold, so only the first word of a read counts.
    int64_t Reads = 0;
  };
  heard_mark Heard;
  bool IsCatchingUp = false; // the open read is for this entry alone
  bool Untold = false;       // such a read has found news
  // Since when a mark speaks of news that have not come.
  std::optional<steady_time> BehindSince;
  int64_t End = 0;
  absl::flat_hash_map<std::string, int64_t> OffsetOf;
  steady_time FreshAt;
  steady_time FailedAt = steady_time::min();
  steady_time FailingSince; // while Failing
  steady_time NextRead = steady_time::min();
  std::optional<steady_time> AskedAt;
};

} // namespace monsoonreel

#endif // ROUTING_KEYED_FEED_H
