#include "routing/keyed_feed.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"

#include "routing/decision_log.h"
#include "routing/feed_packing.h"

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
  if (BehindSince && Now - *BehindSince >= late_news_time) {
    BehindSince.reset();
    MissedNews = true;
  }
  bool Lacks = NeedsWhole || MissedNews;
  bool Due = Lacks || Now - FreshAt >= patience(Rank);
  bool MayWait =
      IsLaterReader && !Lacks && Failing && Now - FailedAt < Terms.LaterRetry;
  if (!Due || Now < NextRead || MayWait)
    return;
  AskedAt = Now;
  IsCatchingUp = MarkDelay && Rank > 0 && Lacks;
  if (Rank > 0 || Lacks)
    Effects.push_back(decision("feed-read")
                          .add("feed", Terms.Name)
                          .add("reason", readReason())
                          .add("rank", static_cast<int64_t>(Rank))
                          .add("feed_age", Known ? age(Now) : duration{})
                          .line(log_level::Info));
  Effects.push_back(
      read_feed{Terms.Name, NeedsWhole, End, Known ? Terms.Wait : duration{}});
}

// A first reader reads each period; the others only when they miss its news.
duration keyed_feed::patience(size_t Rank) const {
  if (Rank == 0)
    return Terms.Period;
  auto Place = static_cast<int64_t>(std::min(Rank, last_reader_rank));
  return Terms.Period + Terms.Wait + reader_slack +
         MarkDelay.value_or(duration{}) + Place * reader_stagger +
         (IsLaterReader ? Terms.LaterPatience : duration{});
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
  BehindSince.reset();
  if (MarkDelay)
    tellByRelays(Read, AfterOutage, Now, Effects);
  else
    tellAll(Read, AfterOutage, Now, Effects);
  std::vector<feed_change> Changes =
      apply(Read.Records, Read.Whole, AfterOutage);
  End = std::max(End, Read.End);
  Known = true;
  NeedsWhole = false;
  return Changes;
}

std::vector<feed_change> keyed_feed::onNews(const wire::feed_news &News,
                                            steady_time Now) {
  // Damaged ones are a gap.
  std::optional<wire::feed_news> Unpacked = unpackNews(News);
  const wire::feed_news &Told = Unpacked ? *Unpacked : News;
  if (!Told.Whole && (Told.From > End || !Known)) {
    // Records were missed. Only the news after the gap tells, so the next own
    // read closes it.
    MissedNews = MissedNews || Told.End > End;
    if (MissedNews && !Failing)
      NextRead = Now;
    return {};
  }
  bool FailedHere =
      FailedAt != steady_time::min() && Now - FailedAt < outage_memory;
  std::vector<feed_change> Changes =
      apply(Told.Records, Told.Whole, Told.AfterOutage && FailedHere);
  if (Told.End >= End) {
    End = Told.End;
    FreshAt = Now;
    BehindSince.reset();
    Untold = false;
    onStoreRead(Now);
  }
  if (Told.End >= Heard.End)
    Heard = {Told.End, Told.End, Now, Heard.Reads};
  if (Told.Whole)
    NeedsWhole = false;
  Known = true;
  return Changes;
}

wire::feed_mark keyed_feed::mark(steady_time Now) const {
  wire::feed_mark Mark;
  Mark.Feed = Terms.Name;
  Mark.News = Heard.News;
  Mark.End = Heard.End;
  Mark.AgeMicros = toMicros(Now - Heard.FreshAt);
  Mark.Reads = Heard.Reads;
  return Mark;
}

void keyed_feed::onMark(const wire::feed_mark &Mark, steady_time Now) {
  duration Age = fromMicros(Mark.AgeMicros);
  bool IsNewer = Mark.End > Heard.End ||
                 (Mark.End == Heard.End && Mark.Reads > Heard.Reads);
  if (!IsNewer || Age < duration::zero())
    return;
  steady_time Fresh = std::max(Now - Age, Heard.FreshAt);
  Heard = {Mark.News, Mark.End, Fresh, std::max(Mark.Reads, Heard.Reads)};
  if (!Known || Mark.End < End)
    return;
  if (Mark.News > End) {
    BehindSince = BehindSince.value_or(Now);
    return;
  }
  BehindSince.reset();
  Untold = false; // the reader has told all that this entry knows
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
  return News;
}

// What is told of News, which may be nothing but a gap.
wire::feed_news keyed_feed::tellable(wire::feed_news News) const {
  wire::feed_news Told = packNews(std::move(News));
  if (sizeOf(Told) * Listeners <= max_news_bytes)
    return Told;
  return gapOf(Told);
}

void keyed_feed::tellAll(const feed_read &Read, bool AfterOutage,
                         steady_time Now, routing_effects &Effects) {
  if (Listeners == 0)
    Untold = true;
  else
    Heard = {Read.End, Read.End, Now, Heard.Reads + 1};
  Effects.push_back(
      tell_entries{wire::peer_message(tellable(newsOf(Read, AfterOutage)))});
}

void keyed_feed::tellByRelays(const feed_read &Read, bool AfterOutage,
                              steady_time Now, routing_effects &Effects) {
  wire::feed_news News = newsOf(Read, AfterOutage);
  bool SaysNew = News.Whole || !News.Records.empty();
  // What others know already is not told again. Should they not know it, they
  // have to learn so when this entry is their reader.
  if (IsCatchingUp) {
    Untold |= SaysNew;
    return;
  }
  bool Missed = std::exchange(Untold, false);
  // Others may not have heard yet how far nothing was new.
  if (!Missed)
    News.From = std::min(Read.From, Heard.News);
  Heard = {SaysNew || Missed ? Read.End : Heard.News, Read.End, Now,
           Heard.Reads + 1};
  if (SaysNew)
    Effects.push_back(
        tell_entries{wire::peer_message(tellable(std::move(News)))});
}

} // namespace monsoonreel
