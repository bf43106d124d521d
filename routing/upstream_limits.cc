#include "routing/upstream_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/strings/str_cat.h"

#include "monsoonreel/rendezvous.h"

namespace monsoonreel {

namespace {

// Reports of the same limit by this much newer answers are ignored. Otherwise
// two entries could repeat a limit to each other indefinitely, because each
// transfer makes it appear a little newer.
constexpr duration report_tolerance = std::chrono::milliseconds(500);

} // namespace

void upstream_limits::setEntries(std::vector<std::string> Names,
                                 steady_time Now) {
  if (Names == Others)
    return;
  for (const std::string &Name : Others)
    LostAt.try_emplace(Name, Now);
  Others = std::move(Names);
  for (const std::string &Name : Others)
    LostAt.erase(Name);
  updateOthersOfCold();
  updateShares(Now);
}

void upstream_limits::setSharing(bool Value, steady_time Now) {
  if (std::exchange(IsSharing, Value) != Value)
    updateShares(Now);
}

void upstream_limits::onTick(steady_time Now, wall_time TrueTime) {
  for (auto &[Upstream, Limit] : Limits) {
    if (Limit.HeardAt &&
        Now - *Limit.HeardAt >=
            (Limit.PerSecond ? duration(limit_expiry) : limit_report_time)) {
      Limit.HeardAt.reset();
      set(Upstream, Limit, std::nullopt, Limit.HeardAt, Now);
    }
    if (Limit.Cold && Now >= Limit.Cold->Until)
      setCold(Upstream, std::nullopt, Now);
  }
  absl::erase_if(Limits, [](const auto &Item) {
    return !Item.second.HeardAt && !Item.second.Cold;
  });
  bool AnyForgotten = std::erase_if(LostAt, [&](const auto &Lost) {
    return Now - Lost.second >= lost_entry_time;
  });
  if (AnyForgotten)
    updateOthersOfCold();
  int64_t Current = TrueTime.time_since_epoch() / limit_share_period;
  if (std::exchange(Period, Current) != Current || AnyForgotten)
    updateShares(Now);
}

void upstream_limits::updateOthersOfCold() {
  OthersOfCold = Others;
  for (const auto &[Name, At] : LostAt)
    OthersOfCold.push_back(Name);
}

upstream_limits::limit *
upstream_limits::stateOf(const upstream_name &Upstream) {
  if (Limits.size() >= max_limits && !Limits.contains(Upstream))
    return nullptr;
  return &Limits[Upstream];
}

bool upstream_limits::onAnswer(const upstream_name &Upstream,
                               std::optional<double> PerSecond,
                               steady_time SentAt, steady_time Now) {
  // An answer without a limit may have been made before one that stated it.
  if (auto It = Limits.find(Upstream);
      !PerSecond && (It == Limits.end() || !It->second.PerSecond ||
                     SentAt <= *It->second.HeardAt))
    return false;
  limit *Limit = stateOf(Upstream);
  if (!Limit)
    return false;
  Limit->HeardByOther = false;
  return set(Upstream, *Limit, PerSecond, Now, Now);
}

bool upstream_limits::onReport(const wire::upstream_limit &Report,
                               steady_time Now) {
  duration Age = std::max(fromMicros(Report.AgeMicros), duration::zero());
  bool IsUsable = Age < limit_report_time &&
                  (!Report.__isset.PerSecond ||
                   (std::isfinite(Report.PerSecond) && Report.PerSecond >= 0));
  if (!IsUsable)
    return false;
  std::optional<double> PerSecond;
  if (Report.__isset.PerSecond)
    PerSecond = Report.PerSecond;
  upstream_name Upstream(Report.Upstream);
  auto It = Limits.find(Upstream);
  bool IsKnown = It != Limits.end() && It->second.HeardAt;
  if (!IsKnown && !PerSecond)
    return false;
  if (IsKnown) {
    bool IsRepeat = It->second.PerSecond == PerSecond;
    if (Now - Age <=
        *It->second.HeardAt + (IsRepeat ? report_tolerance : duration::zero()))
      return false;
  }
  limit *Limit = stateOf(Upstream);
  if (!Limit)
    return false;
  Limit->HeardByOther = true;
  return set(Upstream, *Limit, PerSecond, Now - Age, Now);
}

bool upstream_limits::set(const upstream_name &Upstream, limit &Limit,
                          std::optional<double> PerSecond,
                          std::optional<steady_time> HeardAt, steady_time Now) {
  Limit.HeardAt = HeardAt;
  if (std::exchange(Limit.PerSecond, PerSecond) == PerSecond)
    return false;
  updateShare(Upstream, Limit, Now);
  return true;
}

void upstream_limits::setCold(const upstream_name &Upstream,
                              const std::optional<cold_limit> &Cold,
                              steady_time Now) {
  bool IsCold = Cold && Now < Cold->Until;
  auto It = Limits.find(Upstream);
  if (!IsCold && (It == Limits.end() || !It->second.Cold))
    return;
  // The registry bounds the number of cold upstreams.
  limit &Limit = Limits[Upstream];
  bool WasCold = Limit.Cold.has_value();
  Limit.Cold = IsCold ? Cold : std::nullopt;
  if (!WasCold)
    Limit.Bucket = token_bucket(0, 0);
  updateShare(Upstream, Limit, Now);
}

// ------------------------------------------------------------------- shares

std::optional<double> upstream_limits::limit::rate() const {
  std::optional<double> Rate;
  if (PerSecond)
    Rate = std::max(*PerSecond, min_request_limit);
  if (Cold)
    Rate = std::min(Rate.value_or(Cold->PerSecond), Cold->PerSecond);
  return Rate;
}

double upstream_limits::computeShare(
    const upstream_name &Upstream, double Rate,
    const std::vector<std::string> &SharingOthers) const {
  if (!IsSharing || Rate <= 0)
    return 0;
  auto Entries = static_cast<double>(SharingOthers.size() + 1);
  double Sharers = std::clamp(std::floor(Rate), 1.0, Entries);
  if (Sharers < Entries) {
    std::string Key = Upstream.Value + "/" + std::to_string(Period);
    uint64_t Own = rendezvousWeight(Key, Self);
    auto Before = std::count_if(SharingOthers.begin(), SharingOthers.end(),
                                [&](const std::string &Name) {
                                  return rendezvousWeight(Key, Name) > Own;
                                });
    if (static_cast<double>(Before) >= Sharers)
      return 0;
  }
  return Rate / Sharers;
}

void upstream_limits::updateShare(const upstream_name &Upstream, limit &Limit,
                                  steady_time Now) const {
  Limit.Bucket.refill(Now);
  std::optional<double> Rate = Limit.rate();
  double Before = std::exchange(
      Limit.Share,
      Rate ? computeShare(Upstream, *Rate, Limit.Cold ? OthersOfCold : Others)
           : 0);
  if (Before == 0)
    Limit.Bucket = token_bucket(0, 0);
  double Burst =
      Limit.Share * std::chrono::duration<double>(limit_burst_time).count();
  Limit.Bucket.setRate(Limit.Share, std::max(1.0, Burst));
  Limit.Bucket.refill(Now);
}

void upstream_limits::updateShares(steady_time Now) {
  for (auto &[Upstream, Limit] : Limits)
    updateShare(Upstream, Limit, Now);
}

bool upstream_limits::maySend(const upstream_name &Upstream,
                              steady_time Now) const {
  auto It = Limits.find(Upstream);
  if (It == Limits.end() || !It->second.rate())
    return true;
  if (It->second.Share == 0)
    return false;
  token_bucket Bucket = It->second.Bucket;
  Bucket.refill(Now);
  return Bucket.hasToken();
}

void upstream_limits::onSent(const upstream_name &Upstream, steady_time Now) {
  if (auto It = Limits.find(Upstream); It != Limits.end())
    It->second.Bucket.tryTake(Now);
}

// ------------------------------------------------------------------ reading

std::optional<double>
upstream_limits::limitOf(const upstream_name &Upstream) const {
  auto It = Limits.find(Upstream);
  return It == Limits.end() ? std::nullopt : It->second.PerSecond;
}

bool upstream_limits::hasLimit(const upstream_name &Upstream) const {
  auto It = Limits.find(Upstream);
  return It != Limits.end() && It->second.rate();
}

std::string upstream_limits::describe(const upstream_name &Upstream) const {
  auto It = Limits.find(Upstream);
  if (It == Limits.end() || !It->second.rate())
    return "none";
  const limit &Limit = It->second;
  return Limit.Cold ? absl::StrCat(Limit.Share, "/", *Limit.rate(), "-cold")
                    : absl::StrCat(Limit.Share, "/", *Limit.PerSecond);
}

size_t upstream_limits::size() const {
  return static_cast<size_t>(
      std::count_if(Limits.begin(), Limits.end(), [](const auto &Item) {
        return Item.second.PerSecond.has_value();
      }));
}

void upstream_limits::addTo(summary &Sum, const upstream_name &Upstream,
                            steady_time Now) const {
  auto It = Limits.find(Upstream);
  if (It == Limits.end() || !It->second.rate())
    return;
  const limit &Limit = It->second;
  ++Sum.Upstreams;
  Sum.PerSecond += *Limit.rate();
  Sum.Share += Limit.Share;
  if (Limit.PerSecond)
    Sum.OldestAge = std::max(Sum.OldestAge, Now - *Limit.HeardAt);
}

upstream_limits::summary upstream_limits::total(steady_time Now) const {
  summary Sum;
  for (const auto &[Upstream, Limit] : Limits)
    addTo(Sum, Upstream, Now);
  return Sum;
}

std::vector<wire::upstream_limit>
upstream_limits::recent(bool OwnOnly, steady_time Now) const {
  std::vector<wire::upstream_limit> List;
  for (const auto &[Upstream, Limit] : Limits) {
    if (!Limit.HeardAt)
      continue;
    duration Age = Now - *Limit.HeardAt;
    if (Age >= limit_report_time || (OwnOnly && Limit.HeardByOther))
      continue;
    wire::upstream_limit Wire;
    Wire.Upstream = Upstream.Value;
    if (Limit.PerSecond)
      Wire.__set_PerSecond(*Limit.PerSecond);
    Wire.AgeMicros = toMicros(Age);
    List.push_back(std::move(Wire));
  }
  auto IsNewer = [](const auto &A, const auto &B) {
    return A.AgeMicros < B.AgeMicros;
  };
  size_t Count = std::min(List.size(), max_reported_limits);
  std::partial_sort(List.begin(), List.begin() + static_cast<ptrdiff_t>(Count),
                    List.end(), IsNewer);
  List.resize(Count);
  return List;
}

} // namespace monsoonreel
