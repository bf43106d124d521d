#include "monsoonreel/cell_upstreams.h"

#include <algorithm>
#include <cmath>

namespace monsoonreel {

namespace {

// Smaller differences from the median do not indicate a straggler.
constexpr duration min_straggler_delay = std::chrono::milliseconds(20);

} // namespace

void cell_upstreams::configure(const std::vector<upstream> &Members) {
  std::vector<state> Old = std::move(States);
  States.clear();
  for (const upstream &Member : Members) {
    auto Known = std::find_if(Old.begin(), Old.end(), [&](const state &State) {
      return State.Upstream.Name == Member.Name;
    });
    state Next = Known == Old.end() ? state{} : *Known;
    // Only engines send load reports, and only reclaimable ones ever leave.
    if (Known == Old.end() && Member.Cheap &&
        Member.Kind == upstream_kind::Engine)
      Next.Health.awaitReport();
    Next.Upstream = Member;
    States.push_back(std::move(Next));
  }
}

std::optional<size_t> cell_upstreams::find(const upstream_name &Name) const {
  for (size_t Index = 0; Index < States.size(); ++Index)
    if (States[Index].Upstream.Name == Name)
      return Index;
  return std::nullopt;
}

int cell_upstreams::load(const state &State, steady_time Now) const {
  bool Recent = Now - State.ReportedAt < report_lifetime;
  return State.InFlight + (Recent ? State.OtherOwnersWork : 0);
}

int cell_upstreams::unused(const state &State, steady_time Now) const {
  return std::max(0, State.Upstream.Concurrency - load(State, Now));
}

int cell_upstreams::room(const state &State, steady_time Now) const {
  switch (State.Health.admits(Now)) {
  case admission_state::Closed:
    return unused(State, Now);
  case admission_state::ProbeOnly:
    return 1;
  case admission_state::Open:
  case admission_state::Leaving:
  case admission_state::Unreported:
    return 0;
  }
  return 0;
}

bool cell_upstreams::canServe(size_t Index, const waiting_request &Request,
                              steady_time Now) const {
  const state &State = States[Index];
  if (State.Upstream.Cheap && !Request.CheapAllowed)
    return false;
  admission_state Admits = State.Health.admits(Now);
  if (Admits == admission_state::Open || Admits == admission_state::Leaving)
    return false;
  // A probe may fail after the request was sent.
  if (Admits == admission_state::ProbeOnly && !Request.Idempotent)
    return false;
  return std::find(Request.Excluded.begin(), Request.Excluded.end(),
                   State.Upstream.Name) == Request.Excluded.end();
}

bool cell_upstreams::anyCanServe(const waiting_request &Request,
                                 steady_time Now) const {
  for (size_t Index = 0; Index < States.size(); ++Index)
    if (canServe(Index, Request, Now))
      return true;
  return false;
}

bool cell_upstreams::hasRoom(const waiting_request &Request,
                             steady_time Now) const {
  for (size_t Index = 0; Index < States.size(); ++Index)
    if (room(States[Index], Now) > 0 && canServe(Index, Request, Now))
      return true;
  return false;
}

double cell_upstreams::prefill(const state &State, steady_time Now) const {
  // The owner is not notified when a prompt has been processed. Prefill takes
  // about the time to the first token, so the outstanding work decays
  // exponentially with that time constant.
  duration Usual = std::max(State.Health.firstToken(), min_straggler_delay);
  double Age = std::chrono::duration<double>(Now - State.PrefillAt) /
               std::chrono::duration<double>(Usual);
  return State.PrefillTokens * std::exp(-std::max(0.0, Age));
}

std::vector<placement_candidate>
cell_upstreams::candidates(const waiting_request &Request,
                           steady_time Now) const {
  const upstream_name *Cached = Affinity.find(Request.PrefixHash);
  std::vector<placement_candidate> Normal;
  std::vector<placement_candidate> Probes;
  for (size_t Index = 0; Index < States.size(); ++Index) {
    const state &State = States[Index];
    if (room(State, Now) <= 0 || !canServe(Index, Request, Now))
      continue;
    placement_candidate Candidate;
    Candidate.Index = Index;
    Candidate.Concurrency = State.Upstream.Concurrency;
    Candidate.InFlight = load(State, Now);
    Candidate.PrefillTokens = prefill(State, Now);
    Candidate.Cost = State.Upstream.Cost;
    Candidate.HasPrefix = Cached && *Cached == State.Upstream.Name;
    duration Median = medianFirstToken(Index);
    if (Median > duration{} && State.Health.samples() >= straggler_samples)
      Candidate.Slowness = std::max(
          1.0, std::chrono::duration<double>(State.Health.firstToken()) /
                   std::chrono::duration<double>(Median));
    bool Probe = State.Health.admits(Now) == admission_state::ProbeOnly;
    (Probe ? Probes : Normal).push_back(Candidate);
  }
  // A probe may fail, so a request of the highest tier is used as one only when
  // no other upstream has room. Requests of other tiers probe as soon as the
  // upstream allows it.
  bool ProbeFirst = !Probes.empty() && Request.Tier > tier{0};
  return ProbeFirst || Normal.empty() ? Probes : Normal;
}

bool cell_upstreams::isInService(const state &State, bool Cheap,
                                 steady_time Now) {
  admission_state Admits = State.Health.admits(Now);
  return (Cheap || !State.Upstream.Cheap) &&
         (Admits == admission_state::Closed ||
          Admits == admission_state::Unreported);
}

int cell_upstreams::freeSlots(bool Cheap, steady_time Now) const {
  int Sum = 0;
  for (const state &State : States)
    if (isInService(State, Cheap, Now))
      Sum += unused(State, Now);
  return Sum;
}

int cell_upstreams::slots(bool Cheap, steady_time Now) const {
  int Sum = 0;
  for (const state &State : States)
    if (isInService(State, Cheap, Now))
      Sum += State.Upstream.Concurrency;
  return Sum;
}

bool cell_upstreams::isProbe(size_t Index, steady_time Now) const {
  return States[Index].Health.admits(Now) == admission_state::ProbeOnly;
}

void cell_upstreams::onGrant(size_t Index, const waiting_request &Request,
                             steady_time Now) {
  state &State = States[Index];
  if (isProbe(Index, Now))
    State.Health.onProbeGranted(Now);
  State.PrefillTokens = prefill(State, Now) + Request.PromptTokens;
  State.PrefillAt = Now;
  ++State.InFlight;
  State.PeakInFlight = std::max(State.PeakInFlight, State.InFlight);
  Affinity.put(Request.PrefixHash, State.Upstream.Name);
}

duration cell_upstreams::medianFirstToken(size_t Except) const {
  std::vector<duration> Others;
  for (size_t Index = 0; Index < States.size(); ++Index)
    if (Index != Except && States[Index].Health.samples() >= straggler_samples)
      Others.push_back(States[Index].Health.firstToken());
  if (Others.empty())
    return duration{};
  auto Middle = Others.begin() + static_cast<int64_t>(Others.size() / 2);
  std::nth_element(Others.begin(), Middle, Others.end());
  return *Middle;
}

bool cell_upstreams::isSlow(size_t Index, duration FirstToken) const {
  duration Median = medianFirstToken(Index);
  if (Median <= duration{} || FirstToken < Median + min_straggler_delay)
    return false;
  return std::chrono::duration<double>(FirstToken) >
         straggler_factor * std::chrono::duration<double>(Median);
}

void cell_upstreams::ejectIfSlow(size_t Index, steady_time Now) {
  upstream_health &Health = States[Index].Health;
  if (Health.samples() < straggler_samples ||
      Health.admits(Now) != admission_state::Closed ||
      !isSlow(Index, Health.firstToken()))
    return;
  // Ejects only while more than half of the cell's upstreams are in service,
  // because a slow upstream is better than none.
  auto InService =
      std::count_if(States.begin(), States.end(), [&](const state &State) {
        return State.Health.admits(Now) == admission_state::Closed;
      });
  if (InService * 2 > static_cast<int64_t>(States.size()))
    Health.eject(Now);
}

void cell_upstreams::onRelease(size_t Index, const slot_report &Report,
                               bool WasProbe, steady_time Now) {
  state &State = States[Index];
  State.InFlight = std::max(0, State.InFlight - 1);
  slot_report Seen = Report;
  // A probe that is answered but still slow does not restore the upstream.
  if (WasProbe && Report.Result == wire::slot_result::Completed &&
      isSlow(Index, Report.FirstToken))
    Seen.Result = wire::slot_result::Failed;
  State.Health.onResult(Seen, WasProbe, Now);
  if (Seen.Result == wire::slot_result::Silent)
    Affinity.forget(State.Upstream.Name);
  ejectIfSlow(Index, Now);
}

void cell_upstreams::onLoadReport(const load_report &Report, steady_time Now) {
  std::optional<size_t> Index = find(Report.Upstream);
  if (!Index)
    return;
  state &State = States[*Index];
  State.Health.setLeaving(Report.Leaving);
  int Shown = std::max(0, Report.Running) + std::max(0, Report.Waiting);
  State.OtherOwnersWork =
      std::max(0, Shown - std::max(State.PeakInFlight, State.InFlight));
  State.PeakInFlight = State.InFlight;
  State.ReportedAt = Now - std::max(Report.Age, duration{});
}

void cell_upstreams::onTick(steady_time Now) {
  for (state &State : States)
    State.Health.onTick(Now);
}

admission_state cell_upstreams::admits(size_t Index, steady_time Now) const {
  return States[Index].Health.admits(Now);
}

} // namespace monsoonreel
