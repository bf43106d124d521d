#include "routing/upstream_registry.h"

#include <algorithm>
#include <utility>

namespace monsoonreel {

namespace {

bool isOlder(const upstream_entry &A, const upstream_entry &B) {
  if (A.StartedAt != B.StartedAt)
    return A.StartedAt < B.StartedAt;
  return A.Sequence < B.Sequence;
}

} // namespace

void upstream_registry::onListed(const upstream_listed &Listed,
                                 steady_time Now) {
  upstream_name Name(Listed.Key);
  auto It = Upstreams.find(Name);
  if (Listed.Entry) {
    // A record of an earlier instance, or an older record of this one, arrived
    // late.
    if (It != Upstreams.end() ? isOlder(*Listed.Entry, It->second.Entry)
                              : isStale(*Listed.Entry))
      return;
    if (It == Upstreams.end() && Upstreams.size() >= max_upstreams)
      return;
    // Most records of an upstream only repeat that it is alive.
    bool Unchanged = It != Upstreams.end() &&
                     Listed.Entry->Service == It->second.Entry.Service &&
                     Listed.Entry->Zone == It->second.Entry.Zone &&
                     isLeaving(*Listed.Entry) == isLeaving(It->second.Entry);
    if (Unchanged) {
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
  remove(It, Now);
  reindex();
}

// Returns whether this is no newer than the last report of a removed upstream.
// Reports without a sequence number can't be compared.
bool upstream_registry::isStale(const upstream_entry &Entry) const {
  auto It = Removed.find(Entry.Name);
  if (It == Removed.end() || Entry.Sequence == 0)
    return false;
  const removed_entry &Last = It->second;
  return Entry.StartedAt < Last.StartedAt ||
         (Entry.StartedAt == Last.StartedAt && Entry.Sequence <= Last.Sequence);
}

upstream_registry::upstream_map::iterator
upstream_registry::remove(upstream_map::iterator It, steady_time Now) {
  const upstream_entry &Entry = It->second.Entry;
  if (Removed.size() < max_upstreams || Removed.contains(It->first))
    Removed[It->first] = {Entry.StartedAt, Entry.Sequence, Now};
  return Upstreams.erase(It);
}

bool upstream_registry::onLeaving(const upstream_instance &Instance,
                                  steady_time Now) {
  if (Leaving.size() >= max_upstreams && !Leaving.contains(Instance.Name))
    return false;
  auto [It, New] = Leaving.try_emplace(
      Instance.Name, leaving_instance{Instance.StartedAt, Now});
  if (!New && It->second.StartedAt >= Instance.StartedAt)
    return false;
  It->second = {Instance.StartedAt, Now};
  reindex();
  return true;
}

std::vector<upstream_instance>
upstream_registry::leavingSince(steady_time Since) const {
  std::vector<upstream_instance> Instances;
  for (const auto &[Name, Instance] : Leaving)
    if (Instance.ReceivedAt >= Since)
      Instances.push_back({Name, Instance.StartedAt});
  return Instances;
}

bool upstream_registry::isLeaving(const upstream_entry &Entry) const {
  return Entry.Draining || hasNotice(Entry);
}

// Returns whether a notice says that this run is leaving. A notice about an
// earlier run says nothing about this one.
bool upstream_registry::hasNotice(const upstream_entry &Entry) const {
  auto It = Leaving.find(Entry.Name);
  return It != Leaving.end() && Entry.StartedAt <= It->second.StartedAt;
}

// The notice is kept for a while after the entry was removed, because an older
// record of the upstream may still arrive.
void upstream_registry::expireLeaving(steady_time Now) {
  std::erase_if(Leaving, [&](const auto &Left) {
    return Now - Left.second.ReceivedAt >= removed_retention &&
           !Upstreams.contains(Left.first);
  });
  std::erase_if(Removed, [&](const auto &Entry) {
    return Now - Entry.second.RemovedAt >= removed_retention;
  });
}

void upstream_registry::onTick(steady_time Now, bool StoreFailing) {
  expireLeaving(Now);
  if (!std::exchange(AnyLapsed, false))
    return;
  bool Changed = false;
  for (auto It = Upstreams.begin(); It != Upstreams.end();) {
    std::optional<steady_time> &LapsedAt = It->second.LapsedAt;
    if (LapsedAt && StoreFailing)
      LapsedAt = Now;
    if (LapsedAt && Now - *LapsedAt >= LapseGrace) {
      It = remove(It, Now);
      Changed = true;
    } else {
      AnyLapsed = AnyLapsed || LapsedAt.has_value();
      ++It;
    }
  }
  if (Changed)
    reindex();
}

void upstream_registry::setEvacuated(std::set<zone_name> Zones) {
  if (std::exchange(Evacuated, std::move(Zones)) != Evacuated)
    reindex();
}

const std::vector<const upstream_state *> &
upstream_registry::listOf(const service_index &Index,
                          const pool_name &Service) {
  static const std::vector<const upstream_state *> None;
  auto It = Index.find(Service);
  return It == Index.end() ? None : It->second;
}

const std::vector<const upstream_state *> &
upstream_registry::serving(const pool_name &Service) const {
  return listOf(ByService, Service);
}

const std::vector<const upstream_state *> &
upstream_registry::draining(const pool_name &Service) const {
  return listOf(DrainingByService, Service);
}

const upstream_state *
upstream_registry::findRunning(const upstream_name &Name,
                               const pool_name &Service) const {
  const upstream_state *State = find(Name);
  for (const auto *List : {&serving(Service), &draining(Service)})
    if (std::find(List->begin(), List->end(), State) != List->end())
      return State;
  return nullptr;
}

const upstream_state *upstream_registry::find(const upstream_name &Name) const {
  auto It = Upstreams.find(Name);
  return It == Upstreams.end() ? nullptr : &It->second;
}

void upstream_registry::reindex() {
  ByService.clear();
  DrainingByService.clear();
  for (const auto &[Name, State] : Upstreams) {
    const upstream_entry &Entry = State.Entry;
    if (isEvacuated(Entry.Zone))
      continue;
    if (!isLeaving(Entry))
      ByService[Entry.Service].push_back(&State);
    else if (!hasNotice(Entry))
      DrainingByService[Entry.Service].push_back(&State);
  }
}

} // namespace monsoonreel
