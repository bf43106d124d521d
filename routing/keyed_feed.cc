#include "routing/keyed_feed.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"

namespace monsoonreel {

namespace {

// A peer's word that the store was out counts only for an entry that has failed
// to read it within this time: the store may turn single entries away.
constexpr duration outage_memory = std::chrono::seconds(5);

} // namespace

keyed_feed::keyed_feed(feed_terms Terms) : Terms(std::move(Terms)) {}

void keyed_feed::onTick(steady_time Now, size_t Rank,
                        routing_effects &Effects) {
  if (AskedAt) {
    if (Now - *AskedAt < Terms.Wait + feed_read_timeout)
      return;
    onReadFailed({Terms.Name, "timeout"}, Now);
    Effects.push_back(abandon_feed_read{Terms.Name});
  }
  auto Place = static_cast<int64_t>(std::min(Rank, last_reader_rank));
  // A first reader reads each period; the others only when they miss its news.
  duration Patience = Place == 0 ? Terms.Period
                                 : Terms.Period + Terms.Wait + reader_slack +
                                       Place * reader_stagger;
  bool Due = NeedsWhole || MissedNews || Now - FreshAt >= Patience;
  if (!Due || Now < NextRead)
    return;
  AskedAt = Now;
  Effects.push_back(
      read_feed{Terms.Name, NeedsWhole, End, Known ? Terms.Wait : duration{}});
}

void keyed_feed::onReadFailed(const feed_read_failed &Failed, steady_time Now) {
  AskedAt.reset();
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
  AskedAt.reset();
  // What was appended while the store could not be read; later records are
  // news of a store that works.
  bool AfterOutage =
      std::exchange(Failing, false) && Now - FailingSince >= shortest_outage;
  FreshAt = Now;
  NextRead = Now + Terms.Period;
  MissedNews = false;
  tellPeers(Read, AfterOutage, Effects);
  std::vector<feed_change> Changes =
      apply(Read.Records, Read.Whole, AfterOutage);
  End = std::max(End, Read.End);
  Known = true;
  NeedsWhole = false;
  return Changes;
}

std::vector<feed_change> keyed_feed::onNews(const wire::feed_news &News,
                                            steady_time Now) {
  if (!News.Whole && (News.From > End || !Known)) {
    // Records were missed. Only the news after the gap tells, so the next own
    // read closes it.
    MissedNews = MissedNews || News.End > End;
    if (MissedNews && !Failing)
      NextRead = Now;
    return {};
  }
  bool FailedHere =
      FailedAt != steady_time::min() && Now - FailedAt < outage_memory;
  std::vector<feed_change> Changes =
      apply(News.Records, News.Whole, News.AfterOutage && FailedHere);
  if (News.End >= End) {
    End = News.End;
    FreshAt = Now;
  }
  if (News.Whole)
    NeedsWhole = false;
  Known = true;
  return Changes;
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

void keyed_feed::tellPeers(const feed_read &Read, bool AfterOutage,
                           routing_effects &Effects) {
  wire::feed_news News;
  News.Feed = Terms.Name;
  News.From = Read.From;
  News.End = Read.End;
  // After news of a key, a later record may repeat what was known before.
  absl::flat_hash_set<std::string> Told;
  for (const wire::feed_record &Record : Read.Records)
    if (Read.Whole || !Terms.IsNews || Told.contains(Record.Key) ||
        Terms.IsNews(Record)) {
      Told.insert(Record.Key);
      News.Records.push_back(Record);
    }
  News.Whole = Read.Whole;
  News.AfterOutage = AfterOutage;
  if (!isSmall(News)) {
    // A gap, which makes whoever has not read so far read by itself.
    News.From = News.End;
    News.Records.clear();
    News.Whole = false;
  }
  Effects.push_back(tell_entries{wire::peer_message(std::move(News))});
}

bool keyed_feed::isSmall(const wire::feed_news &News) const {
  size_t Bytes = 0;
  for (const wire::feed_record &Record : News.Records)
    Bytes += Record.Key.size() + Record.Value.size();
  return Bytes * Listeners <= max_news_bytes;
}

} // namespace monsoonreel
