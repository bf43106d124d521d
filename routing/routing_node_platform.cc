// Implements how a `routing_node` applies what it reads from the platform's
// store: the configuration, evacuated zones and upstreams.

#include <algorithm>
#include <utility>

#include "routing/decision_log.h"
#include "routing/routing_node.h"

namespace monsoonreel {

namespace {

std::string describe(const finding_list &Findings) {
  std::string Text;
  for (const finding &Finding : Findings.all())
    Text += (Text.empty() ? "" : "; ") + Finding.Place.Path + ": " +
            Finding.Message;
  return Text;
}

} // namespace

keyed_feed *routing_node::feedOf(const std::string &Name) {
  if (Name == ConfigFeed.name())
    return &ConfigFeed;
  return Name == UpstreamFeed.name() ? &UpstreamFeed : nullptr;
}

void routing_node::onEvent(const feed_read &Read, const routing_event &Event,
                           routing_effects &Effects) {
  keyed_feed *Feed = feedOf(Read.Feed);
  if (!Feed)
    return;
  onStoreEra(Read.Era, "store", Event.Now, Effects);
  applyChanges(*Feed, Feed->onRead(Read, Event.Now, Effects), Event.Now,
               Effects);
}

void routing_node::onEvent(const feed_read_failed &Failed,
                           const routing_event &Event,
                           routing_effects &Effects) {
  keyed_feed *Feed = feedOf(Failed.Feed);
  if (!Feed)
    return;
  onStoreEra(Failed.Era, "store", Event.Now, Effects);
  Feed->onReadFailed(Failed, Event.Now);
  if (!Failed.HistoryCut && !std::exchange(StoreFailing, true))
    Effects.push_back(decision("store-lost")
                          .add("feed", Failed.Feed)
                          .add("reason", Failed.Reason)
                          .line(log_level::Warning));
}

void routing_node::onStoreEra(int64_t Era, const char *Source, steady_time Now,
                              routing_effects &Effects) {
  if (Era <= StoreEra)
    return;
  if (StoreEra != 0) {
    Effects.push_back(decision("store-restored")
                          .add("source", Source)
                          .add("old_era", StoreEra)
                          .add("new_era", Era)
                          .add("config_end", ConfigFeed.end())
                          .add("upstreams_end", UpstreamFeed.end())
                          .add("duties_end", Duties.end().Offset)
                          .line(log_level::Warning));
    Effects.push_back(count_metric{"monsoonreel_store_restores_total", {}, 1});
    Evacuations.onRestore(Now);
  }
  StoreEra = Era;
  PeersFiguredWindow = 0;
  bool FromPeer = std::string_view(Source) == "peer";
  ConfigFeed.onEra(Era, Now, FromPeer);
  UpstreamFeed.onEra(Era, Now, FromPeer);
  Duties.onEra(Era, Now, Effects);
}

void routing_node::applyChanges(const keyed_feed &Feed,
                                const std::vector<feed_change> &Changes,
                                steady_time Now, routing_effects &Effects) {
  for (const feed_change &Change : Changes) {
    if (&Feed == &UpstreamFeed)
      applyUpstream(Change, Now, Effects);
    else if (Change.Key == Terms.Feeds.ConfigKey)
      applyConfig(Change, Now, Effects);
    else if (Evacuations.isOrder(Change.Key))
      if (auto Evacuation = Evacuations.onChange(Change, Now))
        applyEvacuations({*Evacuation}, Effects);
  }
}

// --------------------------------------------------------------- evacuation

void routing_node::applyEvacuations(
    const std::vector<evacuation_change> &Changes, routing_effects &Effects) {
  if (Changes.empty())
    return;
  std::set<zone_name> Zones = Evacuations.zones();
  Effects.push_back(set_gauge{
      "monsoonreel_evacuated_zones", {}, static_cast<double>(Zones.size())});
  Registry.setEvacuated(std::move(Zones));
  for (const evacuation_change &Change : Changes) {
    auto Upstreams = std::count_if(
        Registry.all().begin(), Registry.all().end(), [&](const auto &Item) {
          return Item.second.Entry.Zone == Change.Zone;
        });
    Effects.push_back(
        decision(Change.IsEvacuated ? "zone-evacuated" : "zone-restored")
            .add("zone", Change.Zone)
            .add("feed_offset", ConfigFeed.end())
            .add("upstreams", static_cast<int64_t>(Upstreams))
            .add("reason", Change.Reason)
            .line(log_level::Warning));
  }
}

// Unconfirmed orders are sent as news of a feed that the store does not have.
// Entries that do not know it ignore them.
void routing_node::sendUnconfirmedOrders(const std::vector<address> &To,
                                         steady_time Now,
                                         routing_effects &Effects) const {
  std::vector<unconfirmed_order> Unconfirmed = Evacuations.unconfirmed(Now);
  if (Unconfirmed.empty() || To.empty())
    return;
  wire::feed_news Orders;
  Orders.Feed = Terms.Feeds.EvacuationPrefix;
  Orders.Era = StoreEra;
  for (const unconfirmed_order &Order : Unconfirmed) {
    wire::feed_record Record;
    Record.Key = Order.Zone.Value;
    Record.__set_AgeMicros(toMicros(Order.Age.value_or(duration{})));
    Orders.Records.push_back(std::move(Record));
  }
  Effects.push_back(send_datagrams{To, wire::peer_message(std::move(Orders))});
}

void routing_node::onUnconfirmedOrders(const wire::feed_news &Orders,
                                       steady_time Now,
                                       routing_effects &Effects) {
  onStoreEra(Orders.Era, "peer", Now, Effects);
  for (const wire::feed_record &Record : Orders.Records) {
    std::optional<duration> Age;
    if (Record.__isset.AgeMicros)
      Age = fromMicros(Record.AgeMicros);
    if (auto Change =
            Evacuations.onUnconfirmed({zone_name(Record.Key), Age}, Now))
      applyEvacuations({*Change}, Effects);
  }
}

// ---------------------------------------------------------------- upstreams

// Most records of upstreams only repeat that they are alive, and hundreds of
// them arrive each second. Only records that differ are passed on to other
// entries.
bool routing_node::isUpstreamNews(const wire::feed_record &Record) const {
  const upstream_state *Known = Registry.find(upstream_name(Record.Key));
  if (!Known || Known->LapsedAt || !Record.__isset.Value)
    return true;
  auto Entry = Decoder->decodeUpstream(Record.Key, Record.Value);
  return !Entry || !Entry->isRepeatOf(Known->Entry);
}

void routing_node::applyUpstream(const feed_change &Change, steady_time Now,
                                 routing_effects &Effects) {
  upstream_listed Listed{Change.Key, {}, Change.AfterOutage};
  if (Change.Value) {
    auto Decoded = Decoder->decodeUpstream(Change.Key, *Change.Value);
    if (Decoded)
      Listed.Entry = std::move(*Decoded);
    else
      Effects.push_back(decision("upstream-entry-refused")
                            .add("key", Change.Key)
                            .add("findings", describe(Decoded.error()))
                            .line(log_level::Warning));
  }
  upstream_name Name(Change.Key);
  const upstream_state *Before = Registry.find(Name);
  bool Restarted = Before && Listed.Entry &&
                   Before->Entry.StartedAt != Listed.Entry->StartedAt;
  bool Changed =
      !Before || !Listed.Entry ||
      Before->Entry.Draining != Listed.Entry->Draining ||
      (Now < Before->coldUntil()) != (Listed.Entry->ColdFor > duration::zero());
  bool Known = Before != nullptr;
  Registry.onListed(Listed, Now);
  updateColdLimit(Name, Now);
  if (Restarted) {
    Cache.forget(Name);
    FailureTracker.forget(Name);
    Model.forget(Name);
  }
  if (!(Changed || Restarted) || (!Known && !Listed.Entry))
    return;
  const char *State = "removed";
  if (Listed.Entry)
    State = Listed.Entry->Draining ? "draining" : "serving";
  Effects.push_back(
      decision("upstream-listed")
          .add("upstream", Change.Key)
          .add("state", State)
          .add("restarted", Restarted ? 1 : 0)
          .add("cold", Listed.Entry ? Listed.Entry->ColdFor : duration{})
          .add("after_outage", Change.AfterOutage ? 1 : 0)
          .add("feed_offset", UpstreamFeed.end())
          .line(log_level::Info));
}

void routing_node::updateColdLimit(const upstream_name &Upstream,
                                   steady_time Now) {
  const upstream_state *State = Registry.find(Upstream);
  const service *Service =
      State && Table ? Table->findService(State->Entry.Service) : nullptr;
  std::optional<cold_limit> Cold;
  if (Service && Service->ColdPerSecond > 0)
    Cold = cold_limit{Terms.Bounds.coldRate(Service->ColdPerSecond),
                      State->coldUntil()};
  Limits.setCold(Upstream, Cold, Now);
}

void routing_node::applyConfig(const feed_change &Change, steady_time Now,
                               routing_effects &Effects) {
  if (!Change.Value)
    return; // the configuration stays in force when its record is removed
  auto Decoded = Decoder->decodeConfig(*Change.Value);
  if (!Decoded) {
    Effects.push_back(decision("config-refused")
                          .add("findings", describe(Decoded.error()))
                          .line(log_level::Error));
    return;
  }
  // A store that was restored from a backup holds an older version until the
  // operator has written the newest one again.
  if (Table && Decoded->Version < Table->config().Version) {
    Effects.push_back(decision("config-ignored")
                          .add("version", Decoded->Version)
                          .add("in_force", Table->config().Version)
                          .add("feed_offset", ConfigFeed.end())
                          .line(log_level::Warning));
    return;
  }
  Effects.push_back(apply_bounds{Decoded->Bounds});
  Table = std::make_shared<const route_table>(std::move(*Decoded));
  for (const auto &[Name, State] : Registry.all())
    updateColdLimit(Name, Now);
  Effects.push_back(
      decision("config-in-force")
          .add("version", Table->config().Version)
          .add("routes", static_cast<int64_t>(Table->config().Routes.size()))
          .add("feed_offset", ConfigFeed.end())
          .add("feed_age", ConfigFeed.age(Now))
          .line(log_level::Info));
  for (const service &Service : Table->config().Services)
    if (const engine_ranks *Ranks = Table->ranksAt(Service.Name))
      Effects.push_back(decision("engine-ranks")
                            .add("version", Table->config().Version)
                            .add("service", Service.Name)
                            .add("firsts", Ranks->toText())
                            .line(log_level::Info));
}

} // namespace monsoonreel
