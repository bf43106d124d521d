#include "routing/keyed_feed.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"

#include "routing/decision_log.h"
#include "routing/feed_packing.h"

namespace monsoonreel {

namespace {

// A peer's report of an outage counts only if this entry failed to read the
// store within this time: the store may reject single entries.
constexpr duration outage_memory = std::chrono::seconds(5);

} // namespace

keyed_feed::keyed_feed(feed_terms Terms) : Terms(std::move(Terms)) {}

void keyed_feed::onTick(steady_time Now, size_t Rank,
                        routing_effects &Effects) {
  if (ReadSentAt) {
    if (Now - *ReadSentAt < Terms.Wait + feed_read_timeout)
      return;
    onReadFailed({Terms.Name, "timeout"}, Now);
    Effects.push_back(cancel_feed_read{Terms.Name});
  }
  if (MarkAheadSince && Now - *MarkAheadSince >= news_arrival_timeout) {
    MarkAheadSince.reset();
    MissedNews = true;
  }
  bool HasGap = NeedsWhole || MissedNews;
  bool Due = HasGap || Now - FreshAt >= readDelay(Rank);
  bool MayWait = IsLaterReader && !HasGap && Failing &&
                 Now - FailedAt < Terms.LaterReaderRetry;
  if (!Due || Now < NextRead || MayWait)
    return;
  ReadSentAt = Now;
  IsCatchingUp = MarkDelay && Rank > 0 && HasGap;
  if (Rank > 0 || HasGap)
    Effects.push_back(decision("feed-read")
                          .add("feed", Terms.Name)
                          .add("reason", readReason())
                          .add("rank", static_cast<int64_t>(Rank))
                          .add("feed_age", Known ? age(Now) : duration{})
                          .line(log_level::Info));
  Effects.push_back(
      read_feed{Terms.Name, NeedsWhole, End, Known ? Terms.Wait : duration{}});
}

// The first reader reads in every period. The others read only when its news do
// not arrive.
duration keyed_feed::readDelay(size_t Rank) const {
  if (Rank == 0)
    return Terms.Period;
  auto Place = static_cast<int64_t>(std::min(Rank, last_reader_rank));
  return Terms.Period + Terms.Wait + reader_slack +
         MarkDelay.value_or(duration{}) + Place * reader_stagger +
         (IsLaterReader ? Terms.LaterReaderDelay : duration{});
}

const char *keyed_feed::readReason() const {
  if (!Known)
    return "first";
  if (NeedsWhole)
    return "history-cut";
  return MissedNews ? "missed-news" : "no-news";
}

void keyed_feed::onStoreRead(steady_time Fresh) {
  if (Failing && Fresh > FailedAt)
    Failing = false;
}

void keyed_feed::onReadFailed(const feed_read_failed &Failed, steady_time Now) {
  ReadSentAt.reset();
  if (Failed.HistoryCut) {
    NeedsWhole = true;
    NextRead = Now;
    return;
  }
  if (!std::exchange(Failing, true))
    FailingSince = Now;
  FailedAt = Now;
  NextRead = Now + feed_retry_period;
}

std::vector<feed_change> keyed_feed::onRead(const feed_read &Read,
                                            steady_time Now,
                                            routing_effects &Effects) {
  ReadSentAt.reset();
  // Only this read can contain records that were appended during the outage.
  // Later reads return records that were appended while the store was
  // reachable.
  bool AfterOutage =
      std::exchange(Failing, false) && Now - FailingSince >= shortest_outage;
  FreshAt = Now;
  NextRead = Now + Terms.Period;
  MissedNews = false;
  MarkAheadSince.reset();
  if (MarkDelay)
    announceThroughRelays(Read, AfterOutage, Now, Effects);
  else
    announceToAll(Read, AfterOutage, Now, Effects);
  std::vector<feed_change> Changes =
      apply(Read.Records, Read.Whole, AfterOutage);
  End = std::max(End, Read.End);
  Known = true;
  NeedsWhole = false;
  return Changes;
}

std::vector<feed_change> keyed_feed::onNews(const wire::feed_news &News,
                                            steady_time Now) {
  // Damaged news are treated as a gap.
  std::optional<wire::feed_news> Unpacked = unpackNews(News);
  const wire::feed_news &Received = Unpacked ? *Unpacked : News;
  if (!Received.Whole && (Received.From > End || !Known)) {
    // Records were missed. Only the first news after a gap reveal it, so the
    // gap is remembered until the next own read closes it.
    MissedNews = MissedNews || Received.End > End;
    if (MissedNews && !Failing)
      NextRead = Now;
    return {};
  }
  bool FailedHere =
      FailedAt != steady_time::min() && Now - FailedAt < outage_memory;
  std::vector<feed_change> Changes = apply(Received.Records, Received.Whole,
                                           Received.AfterOutage && FailedHere);
  if (Received.End >= End) {
    End = Received.End;
    FreshAt = Now;
    MarkAheadSince.reset();
    HasUnannouncedNews = false;
    onStoreRead(Now);
  }
  if (Received.End >= LatestMark.End)
    LatestMark = {Received.End, Received.End, Now, LatestMark.Reads};
  if (Received.Whole)
    NeedsWhole = false;
  Known = true;
  return Changes;
}

wire::feed_mark keyed_feed::mark(steady_time Now) const {
  wire::feed_mark Mark;
  Mark.Feed = Terms.Name;
  Mark.News = LatestMark.News;
  Mark.End = LatestMark.End;
  Mark.AgeMicros = toMicros(Now - LatestMark.FreshAt);
  Mark.Reads = LatestMark.Reads;
  return Mark;
}

void keyed_feed::onMark(const wire::feed_mark &Mark, steady_time Now) {
  duration Age = fromMicros(Mark.AgeMicros);
  bool IsNewer = Mark.End > LatestMark.End ||
                 (Mark.End == LatestMark.End && Mark.Reads > LatestMark.Reads);
  if (!IsNewer || Age < duration::zero())
    return;
  steady_time Fresh = std::max(Now - Age, LatestMark.FreshAt);
  LatestMark = {Mark.News, Mark.End, Fresh,
                std::max(Mark.Reads, LatestMark.Reads)};
  if (!Known || Mark.End < End)
    return;
  if (Mark.News > End) {
    MarkAheadSince = MarkAheadSince.value_or(Now);
    return;
  }
  MarkAheadSince.reset();
  // The reader has announced everything that this entry knows.
  HasUnannouncedNews = false;
  End = Mark.End;
  FreshAt = std::max(FreshAt, Fresh);
  onStoreRead(Fresh);
}

std::vector<feed_change>
keyed_feed::apply(const std::vector<wire::feed_record> &Records, bool Whole,
                  bool AfterOutage) {
  std::vector<feed_change> Changes;
  absl::flat_hash_set<std::string> Present;
  for (const wire::feed_record &Record : Records) {
    if (Whole)
      Present.insert(Record.Key);
    auto [It, New] = OffsetOf.try_emplace(Record.Key, Record.Offset);
    if (!New && It->second >= Record.Offset)
      continue;
    It->second = Record.Offset;
    feed_change Change{Record.Key, {}, AfterOutage};
    if (Record.__isset.Value)
      Change.Value = Record.Value;
    else
      OffsetOf.erase(It);
    Changes.push_back(std::move(Change));
  }
  if (!Whole)
    return Changes;
  std::vector<std::string> Missing;
  for (const auto &[Key, Offset] : OffsetOf)
    if (!Present.contains(Key))
      Missing.push_back(Key);
  for (std::string &Key : Missing) {
    OffsetOf.erase(Key);
    Changes.push_back({std::move(Key), {}, AfterOutage});
  }
  return Changes;
}

wire::feed_news keyed_feed::newsOf(const feed_read &Read,
                                   bool AfterOutage) const {
  wire::feed_news News;
  News.Feed = Terms.Name;
  News.From = Read.From;
  News.End = Read.End;
  // After a changed record of a key, a later record may restore the previous
  // value and is then a change too.
  absl::flat_hash_set<std::string> AnnouncedKeys;
  for (const wire::feed_record &Record : Read.Records)
    if (Read.Whole || !Terms.IsNews || AnnouncedKeys.contains(Record.Key) ||
        Terms.IsNews(Record)) {
      AnnouncedKeys.insert(Record.Key);
      News.Records.push_back(Record);
    }
  News.Whole = Read.Whole;
  News.AfterOutage = AfterOutage;
  return News;
}

// Packs News, and replaces them by a gap if they are too large to be sent.
wire::feed_news keyed_feed::packForSending(wire::feed_news News) const {
  wire::feed_news Packed = packNews(std::move(News));
  if (sizeOf(Packed) * RecipientCount <= max_news_bytes)
    return Packed;
  return gapNewsFor(Packed);
}

void keyed_feed::announceToAll(const feed_read &Read, bool AfterOutage,
                               steady_time Now, routing_effects &Effects) {
  if (RecipientCount == 0)
    HasUnannouncedNews = true;
  else
    LatestMark = {Read.End, Read.End, Now, LatestMark.Reads + 1};
  Effects.push_back(broadcast_to_entries{
      wire::peer_message(packForSending(newsOf(Read, AfterOutage)))});
}

void keyed_feed::announceThroughRelays(const feed_read &Read, bool AfterOutage,
                                       steady_time Now,
                                       routing_effects &Effects) {
  wire::feed_news News = newsOf(Read, AfterOutage);
  bool HasNews = News.Whole || !News.Records.empty();
  // A read that only catches up is not announced, because the other entries
  // usually have its records. Those that lack them have to detect the gap when
  // this entry becomes their reader.
  if (IsCatchingUp) {
    HasUnannouncedNews |= HasNews;
    return;
  }
  bool HadUnannouncedNews = std::exchange(HasUnannouncedNews, false);
  // The other entries may not have received the end offset of the last reads
  // without news, so these news start at the end of the previous news.
  if (!HadUnannouncedNews)
    News.From = std::min(Read.From, LatestMark.News);
  LatestMark = {HasNews || HadUnannouncedNews ? Read.End : LatestMark.News,
                Read.End, Now, LatestMark.Reads + 1};
  if (HasNews)
    Effects.push_back(broadcast_to_entries{
        wire::peer_message(packForSending(std::move(News)))});
}

} // namespace monsoonreel
