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
  if (std::exchange(IsReadStale, false) && ReadSentAt) {
    ReadSentAt.reset();
    Effects.push_back(cancel_feed_read{Terms.Name});
  }
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
  bool AwaitsNews = ToldAt && Now - *ToldAt < restoredReadDelay(Rank);
  if (!Due || Now < NextRead || MayWait || AwaitsNews)
    return;
  ReadSentAt = Now;
  // After a restore all entries have the gap. The first reader may be unable to
  // close it for the others.
  bool IsForAll = IsRestored && Rank < last_reader_rank;
  IsCatchingUp = MarkDelay && Rank > 0 && HasGap && !IsForAll;
  if (Rank > 0 || HasGap)
    Effects.push_back(decision("feed-read")
                          .add("feed", Terms.Name)
                          .add("reason", readReason())
                          .add("rank", static_cast<int64_t>(Rank))
                          .add("feed_age", Known ? age(Now) : duration{})
                          .line(log_level::Info));
  Effects.push_back(read_feed{Terms.Name, NeedsWhole, End.Offset,
                              Known ? Terms.Wait : duration{}});
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

duration keyed_feed::restoredReadDelay(size_t Rank) const {
  if (Rank == 0)
    return {};
  auto Place = static_cast<int64_t>(Rank);
  auto First = static_cast<int64_t>(std::min(Rank, last_reader_rank));
  return news_arrival_timeout + MarkDelay.value_or(duration{}) +
         First * reader_stagger + Place * restored_read_stagger;
}

const char *keyed_feed::readReason() const {
  if (!Known)
    return "first";
  if (IsRestored)
    return "store-restored";
  if (NeedsWhole)
    return "history-cut";
  return MissedNews ? "missed-news" : "no-news";
}

store_position keyed_feed::positionAt(int64_t Era, int64_t Offset) const {
  return {Era == 0 ? End.Era : Era, Offset};
}

void keyed_feed::onEra(int64_t Era, steady_time Now, bool FromPeer) {
  if (Era <= End.Era)
    return;
  End = {Era, 0};
  MarkAheadSince.reset();
  if (!Known)
    return;
  IsRestored = true;
  NeedsWhole = true;
  MissedNews = false;
  IsReadStale = ReadSentAt.has_value();
  ToldAt = FromPeer ? std::optional(Now) : std::nullopt;
  NextRead = Failing ? std::max(NextRead, Now) : Now;
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
  if (positionAt(Read.Era, 0).Era < End.Era || (NeedsWhole && !Read.Whole)) {
    // The read was sent before the store was restored.
    NextRead = Now;
    return {};
  }
  // Only this read can contain records that were appended during the outage.
  // Later reads return records that were appended while the store was
  // reachable.
  bool AfterOutage =
      std::exchange(Failing, false) && Now - FailingSince >= shortest_outage;
  AfterOutage = std::exchange(IsRestored, false) || AfterOutage;
  ToldAt.reset();
  FreshAt = Now;
  NextRead = Now + Terms.Period;
  MissedNews = false;
  MarkAheadSince.reset();
  if (MarkDelay)
    announceThroughRelays(Read, AfterOutage, Now, Effects);
  else
    announceToAll(Read, AfterOutage, Now, Effects);
  std::vector<feed_change> Changes = apply(
      Read.Records, Read.Whole, positionAt(Read.Era, Read.End), AfterOutage);
  End = std::max(End, positionAt(Read.Era, Read.End));
  Known = true;
  NeedsWhole = false;
  return Changes;
}

std::vector<feed_change> keyed_feed::onNews(const wire::feed_news &News,
                                            steady_time Now) {
  // Damaged news are treated as a gap.
  std::optional<wire::feed_news> Unpacked = unpackNews(News);
  const wire::feed_news &Received = Unpacked ? *Unpacked : News;
  store_position ReceivedEnd = positionAt(Received.Era, Received.End);
  if (ReceivedEnd.Era < End.Era || (IsRestored && !Received.Whole))
    return {};
  if (!Received.Whole && (Received.From > End.Offset || !Known)) {
    // Records were missed. Only the first news after a gap reveal it, so the
    // gap is remembered until the next own read closes it.
    MissedNews = MissedNews || ReceivedEnd > End;
    if (MissedNews && !Failing)
      NextRead = Now;
    return {};
  }
  bool FailedHere =
      FailedAt != steady_time::min() && Now - FailedAt < outage_memory;
  bool AfterOutage =
      std::exchange(IsRestored, false) || (Received.AfterOutage && FailedHere);
  ToldAt.reset();
  std::vector<feed_change> Changes =
      apply(Received.Records, Received.Whole, ReceivedEnd, AfterOutage);
  if (ReceivedEnd >= End) {
    End = ReceivedEnd;
    FreshAt = Now;
    MarkAheadSince.reset();
    HasUnannouncedNews = false;
    onStoreRead(Now);
  }
  if (ReceivedEnd >= LatestMark.End)
    LatestMark = {ReceivedEnd, ReceivedEnd, Now, LatestMark.Reads};
  if (Received.Whole)
    NeedsWhole = false;
  Known = true;
  return Changes;
}

wire::feed_mark keyed_feed::mark(steady_time Now) const {
  wire::feed_mark Mark;
  Mark.Feed = Terms.Name;
  // The news of an earlier era precede all records of this one.
  bool IsCurrent = LatestMark.News.Era == LatestMark.End.Era;
  Mark.Era = LatestMark.End.Era;
  Mark.News = IsCurrent ? LatestMark.News.Offset : 0;
  Mark.End = LatestMark.End.Offset;
  Mark.AgeMicros = toMicros(Now - LatestMark.FreshAt);
  Mark.Reads = LatestMark.Reads;
  return Mark;
}

void keyed_feed::onMark(const wire::feed_mark &Mark, steady_time Now) {
  duration Age = fromMicros(Mark.AgeMicros);
  store_position MarkEnd = positionAt(Mark.Era, Mark.End);
  store_position MarkNews = positionAt(Mark.Era, Mark.News);
  bool IsNewer = MarkEnd > LatestMark.End ||
                 (MarkEnd == LatestMark.End && Mark.Reads > LatestMark.Reads);
  if (!IsNewer || Age < duration::zero())
    return;
  steady_time Fresh = std::max(Now - Age, LatestMark.FreshAt);
  LatestMark = {MarkNews, MarkEnd, Fresh,
                std::max(Mark.Reads, LatestMark.Reads)};
  if (!Known || IsRestored || MarkEnd < End)
    return;
  if (MarkNews > End) {
    MarkAheadSince = MarkAheadSince.value_or(Now);
    return;
  }
  MarkAheadSince.reset();
  // The reader has announced everything that this entry knows.
  HasUnannouncedNews = false;
  End = MarkEnd;
  FreshAt = std::max(FreshAt, Fresh);
  onStoreRead(Fresh);
}

std::vector<feed_change>
keyed_feed::apply(const std::vector<wire::feed_record> &Records, bool Whole,
                  const store_position &RecordsEnd, bool AfterOutage) {
  std::vector<feed_change> Changes;
  absl::flat_hash_set<std::string> Present;
  for (const wire::feed_record &Record : Records) {
    if (Whole)
      Present.insert(Record.Key);
    store_position Position{End.Era, Record.Offset};
    auto [It, New] = PositionOf.try_emplace(Record.Key, Position);
    if (!New && It->second >= Position)
      continue;
    // A record that was overtaken by the removal of its key.
    if (New && !Whole && Position < End) {
      PositionOf.erase(It);
      continue;
    }
    It->second = Position;
    feed_change Change{Record.Key, {}, AfterOutage};
    if (Record.__isset.Value)
      Change.Value = Record.Value;
    else
      PositionOf.erase(It);
    Changes.push_back(std::move(Change));
  }
  if (!Whole)
    return Changes;
  std::vector<std::string> Missing;
  for (const auto &[Key, Position] : PositionOf)
    if (!Present.contains(Key) && Position < RecordsEnd)
      Missing.push_back(Key); // later records are not in a late read
  for (std::string &Key : Missing) {
    PositionOf.erase(Key);
    Changes.push_back({std::move(Key), {}, AfterOutage, true});
  }
  return Changes;
}

wire::feed_news keyed_feed::newsOf(const feed_read &Read,
                                   bool AfterOutage) const {
  wire::feed_news News;
  News.Feed = Terms.Name;
  News.From = Read.From;
  News.End = Read.End;
  News.Era = positionAt(Read.Era, 0).Era;
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
  store_position ReadEnd = positionAt(Read.Era, Read.End);
  if (RecipientCount == 0)
    HasUnannouncedNews = true;
  else
    LatestMark = {ReadEnd, ReadEnd, Now, LatestMark.Reads + 1};
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
  store_position ReadEnd = positionAt(Read.Era, Read.End);
  if (!HadUnannouncedNews && LatestMark.News.Era == ReadEnd.Era)
    News.From = std::min(Read.From, LatestMark.News.Offset);
  LatestMark = {HasNews || HadUnannouncedNews ? ReadEnd : LatestMark.News,
                ReadEnd, Now, LatestMark.Reads + 1};
  if (HasNews)
    Effects.push_back(broadcast_to_entries{
        wire::peer_message(packForSending(std::move(News)))});
}

} // namespace monsoonreel
