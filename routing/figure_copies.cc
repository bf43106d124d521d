#include "routing/figure_copies.h"

#include <algorithm>
#include <string>
#include <utility>

#include <xxhash.h>

namespace monsoonreel {

namespace {

// The same at all entries.
int64_t digestOf(const wire::window_counts &Figures) {
  wire::duty_record Record;
  Record.__set_Figures(Figures);
  std::string Bytes = encodeDutyRecord(Record);
  return static_cast<int64_t>(XXH3_64bits(Bytes.data(), Bytes.size()));
}

// Any number may come from a peer.
duration toAge(int64_t Micros) {
  constexpr duration longest_age = std::chrono::hours(24 * 365);
  return std::clamp(fromMicros(Micros), duration::zero(), longest_age);
}

} // namespace

figure_copies::figure_copies(zone_name Zone, duration MaxWait)
    : Zone(std::move(Zone)), MaxWait(MaxWait) {}

bool figure_copies::setTerm(std::optional<int64_t> NewFence, int64_t NewEra,
                            steady_time Now) {
  if (NewFence == Fence && NewEra == Era)
    return false;
  Fence = NewFence;
  Era = NewEra;
  TermStart = Now;
  Answered.clear();
  Windows.clear();
  NextSend.clear();
  return Fence.has_value();
}

void figure_copies::setEntries(const std::vector<wire::member> &Live,
                               const std::vector<address> &Chosen) {
  Others.clear();
  Keepers.clear();
  for (const wire::member &Member : Live) {
    Others.emplace(Member.Address, Member.Zone);
    if (Chosen.size() < needed_figure_copies)
      Keepers.emplace(Member.Address);
  }
  for (const address &Entry : Chosen)
    if (Others.contains(Entry))
      Keepers.insert(Entry);
}

void figure_copies::addWindows(
    const std::map<int64_t, wire::window_counts> &Written, int64_t First,
    steady_time Now) {
  Windows.erase(Windows.begin(), Windows.lower_bound(First));
  for (auto It = Written.lower_bound(First); It != Written.end(); ++It)
    if (!Windows.contains(It->first))
      Windows[It->first] = {digestOf(It->second), Now, {}};
}

std::vector<int64_t> figure_copies::lackedBy(const address &Entry) const {
  std::vector<int64_t> Lacked;
  if (Keepers.contains(Entry))
    for (const auto &[Number, Window] : Windows)
      if (!Window.Keepers.contains(Entry))
        Lacked.push_back(Number);
  return Lacked;
}

std::vector<figure_message> figure_copies::takeMessages(
    const std::map<int64_t, wire::window_counts> &Written, int64_t First,
    steady_time Now) {
  std::vector<figure_message> Messages;
  if (!Fence)
    return Messages;
  addWindows(Written, First, Now);
  // Most entries lack the same windows.
  using content = std::pair<std::vector<int64_t>, bool>;
  std::map<content, std::vector<address>> Recipients;
  for (const auto &[Entry, EntryZone] : Others) {
    content Lacked{lackedBy(Entry), !Answered.contains(Entry)};
    if (Lacked.first.empty() && !Lacked.second)
      continue;
    steady_time &Next = NextSend.try_emplace(Entry, Now).first->second;
    if (Now < Next)
      continue;
    Next = Now + figure_retry_period;
    Recipients[std::move(Lacked)].push_back(Entry);
  }
  for (auto &[Content, To] : Recipients) {
    wire::figure_request Request;
    Request.Era = Era;
    Request.Fence = *Fence;
    Request.Asks = Content.second;
    Request.First = First;
    for (int64_t Window : Content.first)
      Request.Figures.push_back(Written.at(Window));
    Messages.push_back({std::move(To), std::move(Request)});
  }
  return Messages;
}

bool figure_copies::onReply(const address &From,
                            const wire::figure_reply &Reply, steady_time Now) {
  if (!Fence || Reply.Fence != *Fence || Reply.Era != Era)
    return false;
  if (Reply.Answers) {
    answer &Answer = Answered[From];
    if (Reply.__isset.UpMicros)
      Answer.StartedAt = Now - toAge(Reply.UpMicros);
    if (Reply.__isset.EraMicros)
      Answer.EraKnownSince = Now - toAge(Reply.EraMicros);
  }
  for (const wire::figure_copy &Kept : Reply.Kept)
    if (auto It = Windows.find(Kept.Window);
        It != Windows.end() && It->second.Digest == Kept.Digest)
      It->second.Keepers.insert(From);
  return true;
}

bool figure_copies::hasAsked(steady_time Now) const {
  if (!Fence)
    return false;
  return Now - TermStart >= MaxWait ||
         std::all_of(Others.begin(), Others.end(), [this](const auto &Entry) {
           return Answered.contains(Entry.first);
         });
}

size_t figure_copies::countUnaware(steady_time Since) const {
  return static_cast<size_t>(
      std::count_if(Others.begin(), Others.end(), [&](const auto &Entry) {
        auto It = Answered.find(Entry.first);
        return It == Answered.end() || It->second.StartedAt > Since;
      }));
}

steady_time figure_copies::eraKnownSince() const {
  steady_time Earliest = steady_time::max();
  for (const auto &[Entry, Answer] : Answered)
    Earliest = std::min(Earliest, Answer.EraKnownSince);
  return Earliest;
}

bool figure_copies::areEnough(int64_t Number, steady_time Now) const {
  if (!Fence)
    return false;
  if (Others.empty())
    return true;
  auto Found = Windows.find(Number);
  if (Found == Windows.end())
    return false;
  const window &Window = Found->second;
  size_t Count = 0;
  bool HasOtherZones = false;
  bool IsInOtherZone = false;
  for (const auto &[Entry, EntryZone] : Others) {
    bool IsKeeper = Window.Keepers.contains(Entry);
    Count += IsKeeper ? 1 : 0;
    HasOtherZones = HasOtherZones || EntryZone != Zone;
    IsInOtherZone = IsInOtherZone || (IsKeeper && EntryZone != Zone);
  }
  if (Count >= std::min(needed_figure_copies, Others.size()) &&
      IsInOtherZone == HasOtherZones)
    return true;
  return Count > 0 && isLate(Number, Now);
}

bool figure_copies::isLate(int64_t Window, steady_time Now) const {
  auto It = Windows.find(Window);
  return It != Windows.end() &&
         Now - It->second.FirstSent >= figure_copies_wait;
}

wire::figure_reply replyTo(const wire::figure_request &Request,
                           const std::vector<wire::window_counts> &Known) {
  wire::figure_reply Reply;
  Reply.Era = Request.Era;
  Reply.Fence = Request.Fence;
  Reply.Answers = Request.Asks;
  for (const wire::window_counts &Figures : Known) {
    bool IsKept = std::find(Request.Figures.begin(), Request.Figures.end(),
                            Figures) != Request.Figures.end();
    if (IsKept) {
      wire::figure_copy Copy;
      Copy.Window = Figures.Window;
      Copy.Digest = digestOf(Figures);
      Reply.Kept.push_back(Copy);
    } else if (Request.Asks && Figures.Window >= Request.First) {
      Reply.Figures.push_back(Figures);
    }
  }
  return Reply;
}

} // namespace monsoonreel
