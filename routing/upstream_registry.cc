#include "routing/upstream_registry.h"

#include <utility>

namespace monsoonreel {

namespace {

bool isOlder(const upstream_entry &A, const upstream_entry &B) {
  if (A.StartedAt != B.StartedAt)
    return A.StartedAt < B.StartedAt;
  return A.Sequence < B.Sequence;
}

// Most words of an upstream only repeat that it lives.
bool isIndexedAlike(const upstream_entry &Entry, const upstream_state &Known) {
  return Entry.Service == Known.Entry.Service &&
         Entry.Draining == Known.Entry.Draining;
}

} // namespace

void upstream_registry::onListed(const upstream_listed &Listed,
                                 steady_time Now) {
  upstream_name Name(Listed.Key);
  auto It = Upstreams.find(Name);
  if (Listed.Entry) {
    // A word of an earlier life, or an earlier word of this one, came late.
    if (It != Upstreams.end() && isOlder(*Listed.Entry, It->second.Entry))
      return;
    if (It == Upstreams.end() && Upstreams.size() >= max_upstreams)
      return;
    if (It != Upstreams.end() && isIndexedAlike(*Listed.Entry, It->second)) {
      It->second = {*Listed.Entry, Now, std::nullopt};
      return;
    }
    Upstreams[Name] = {*Listed.Entry, Now, std::nullopt};
    return reindex();
  }
  if (It == Upstreams.end())
    return;
  if (Listed.AfterOutage && !It->second.Entry.Draining) {
    It->second.LapsedAt = Now;
    AnyLapsed = true;
    return;
  }
  Upstreams.erase(It);
  reindex();
}

void upstream_registry::onTick(steady_time Now, bool StoreFailing) {
  if (!std::exchange(AnyLapsed, false))
    return;
  bool Changed = false;
  for (auto It = Upstreams.begin(); It != Upstreams.end();) {
    std::optional<steady_time> &LapsedAt = It->second.LapsedAt;
    if (LapsedAt && StoreFailing)
      LapsedAt = Now;
    if (LapsedAt && Now - *LapsedAt >= lapse_grace) {
      It = Upstreams.erase(It);
      Changed = true;
    } else {
      AnyLapsed = AnyLapsed || LapsedAt.has_value();
      ++It;
    }
  }
  if (Changed)
    reindex();
}

const std::vector<const upstream_state *> &
upstream_registry::serving(const pool_name &Service) const {
  static const std::vector<const upstream_state *> None;
  auto It = ByService.find(Service);
  return It == ByService.end() ? None : It->second;
}

const upstream_state *upstream_registry::find(const upstream_name &Name) const {
  auto It = Upstreams.find(Name);
  return It == Upstreams.end() ? nullptr : &It->second;
}

void upstream_registry::reindex() {
  ByService.clear();
  for (const auto &[Name, State] : Upstreams)
    if (!State.Entry.Draining)
      ByService[State.Entry.Service].push_back(&State);
}

} // namespace monsoonreel
