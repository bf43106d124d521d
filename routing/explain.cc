#include "routing/explain.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "absl/container/flat_hash_set.h"

#include "monsoonreel/http_status.h"
#include "routing/request_router.h"

namespace monsoonreel {

explanation
request_router::explain(const route_request &Asked,
                        const std::shared_ptr<const route_table> &Table,
                        const router_context &Context) const {
  explanation Why;
  Why.RegistryAge = Context.RegistryAge;
  if (!Table) {
    Why.Status = http_status::service_unavailable;
    Why.Code = "starting";
    return Why;
  }
  Why.ConfigVersion = Table->config().Version;
  active_request Request;
  Request.Arrived = Asked;
  Request.Table = Table;
  Request.ArrivedAt = Context.Now;
  if (auto Refused = admit(Request, Context)) {
    Why.Status = Refused->Status;
    Why.Code = Refused->Code;
    return Why;
  }
  Request.EndsAt =
      Context.Now + std::min(Request.Route->Timeout,
                             Asked.TimeLeft.value_or(Request.Route->Timeout));
  Why.Status = http_status::ok;
  Why.Route = Request.Route->Name;
  Why.Service = Request.Service->Name;
  Why.Urgency = Request.Urgency;
  placement_query Query = queryFor(Request, Context);
  if (Query.Prompt)
    Why.Rank = Table->ranksAt(Why.Service)->rankOf(Request.Urgency);
  Why.InMilliseconds = Query.Model != nullptr;
  Why.IsSampled = Query.LoadIsStale;
  std::optional<placement> Chosen =
      choosePlacement(Query, inputsFor(Why.Service));
  if (Chosen)
    Why.Chosen = Chosen->Upstream->Entry.Name;
  Why.Asked = explainPlacer(Request, Query, Chosen, Context);
  Why.Refused = explainRefusal(Request, Query, Chosen, Context);
  Why.Upstreams = explainUpstreams(Request, Query, Context);
  Why.Listed = Why.Upstreams.size();
  std::stable_partition(
      Why.Upstreams.begin(), Why.Upstreams.end(),
      [&](const explained_upstream &Each) { return Each.Name == Why.Chosen; });
  if (Why.Upstreams.size() > max_explained_upstreams)
    Why.Upstreams.resize(max_explained_upstreams);
  for (explained_upstream &Each : Why.Upstreams) {
    Each.ReportAge = Services.Load.reportAge(Each.Name, Context.Now);
    if (Query.Prompt)
      Each.CachedTokens =
          Query.Prompt->PromptTokens -
          Services.Cache.unreadTokens(Each.Name, *Query.Prompt, Context.Now);
  }
  return Why;
}

address request_router::explainPlacer(const active_request &Request,
                                      const placement_query &Query,
                                      const std::optional<placement> &Chosen,
                                      const router_context &Context) const {
  address Placer = placerFor(Request, Query, Context);
  if (Placer.empty() && Chosen && Query.PrefersOwnZone)
    return relayOf(Chosen->Upstream->Entry.Zone, Context);
  return Placer;
}

std::string
request_router::explainRefusal(const active_request &Request,
                               const placement_query &Query,
                               const std::optional<placement> &Chosen,
                               const router_context &Context) const {
  if (Requests.size() >= max_open_requests)
    return "too-many-open";
  if (comesTooLate(Request, Context))
    return "draining";
  if (heldBack(Request, Context))
    return "prompt-part-held";
  if (!Chosen) {
    routing_effects LogLines; // not written
    return reasonForNoUpstream(Request, Context, LogLines);
  }
  return isRefused(Request.Service->Name, Query, *Chosen) ? "no-room" : "";
}

std::vector<explained_upstream>
request_router::explainUpstreams(const active_request &Request,
                                 const placement_query &Query,
                                 const router_context &Context) const {
  placement_query Whole = Query;
  Whole.LoadIsStale = false; // costs of all upstreams, not of a sample
  std::vector<placement> Options;
  choosePlacement(Whole, inputsFor(Request.Service->Name), &Options);
  std::stable_sort(Options.begin(), Options.end(),
                   [](const placement &Left, const placement &Right) {
                     return std::tie(Left.IsLate, Left.Cost) <
                            std::tie(Right.IsLate, Right.Cost);
                   });
  std::vector<explained_upstream> List;
  absl::flat_hash_set<upstream_name> Compared;
  for (const placement &Option : Options) {
    explained_upstream Each;
    Each.Name = Option.Upstream->Entry.Name;
    Each.Zone = Option.Upstream->Entry.Zone;
    Each.Option = Option;
    Compared.insert(Each.Name);
    List.push_back(std::move(Each));
  }
  for (const auto &[Name, State] : Services.Registry.all()) {
    if (State.Entry.Service != Request.Service->Name || Compared.contains(Name))
      continue;
    explained_upstream Each;
    Each.Name = Name;
    Each.Zone = State.Entry.Zone;
    Each.Excluded = exclusionOf(Request, State, Context.Now);
    List.push_back(std::move(Each));
  }
  return List;
}

const char *request_router::exclusionOf(const active_request &Request,
                                        const upstream_state &Upstream,
                                        steady_time Now) const {
  const upstream_entry &Entry = Upstream.Entry;
  if (Services.Registry.isEvacuated(Entry.Zone))
    return "evacuated";
  if (Services.Registry.isLeaving(Entry))
    return "draining";
  if (!Request.Regions.allows(Entry.Zone))
    return "other-region";
  if (Services.FailureTracker.backoffUntil(Entry.Name, Now))
    return "backing-off";
  // Without a stated limit, only cold upstreams have one.
  if (!Services.Limits.maySend(Entry.Name, Now))
    return Services.Limits.limitOf(Entry.Name) ? "at-limit" : "cold";
  // Paused upstreams are compared only if no others are left.
  return "paused";
}

} // namespace monsoonreel
