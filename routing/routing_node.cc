#include "routing/routing_node.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"

#include "monsoonreel/rendezvous.h"
#include "routing/decision_log.h"

namespace monsoonreel {

namespace {

usage_terms usageTerms(const routing_terms &Terms) {
  return {Terms.UsageWindow, Terms.Bounds.UsageDue};
}

duty_terms dutyTerms(const routing_terms &Terms) {
  duty_terms Duties = Terms.Duties;
  Duties.KeptFigures = static_cast<size_t>(2 * usageTerms(Terms).kept());
  return Duties;
}

} // namespace

routing_node::routing_node(node_identity Self,
                           const std::vector<address> &Seeds,
                           routing_terms Chosen,
                           std::shared_ptr<const listing_decoder> Listings)
    : Identity(std::move(Self)), Terms(std::move(Chosen)),
      Decoder(std::move(Listings)),
      Members(Identity, wire::member_role::Entry, Seeds),
      ConfigFeed({Terms.Feeds.Config, duration{}, Terms.Bounds.configReadWait(),
                  nullptr, Terms.Bounds.laterReaderDelay(),
                  Terms.Bounds.laterReaderRetryPeriod()}),
      UpstreamFeed({Terms.Feeds.Upstreams, Terms.Bounds.upstreamReadPeriod(),
                    duration{},
                    [this](const wire::feed_record &Record) {
                      return isUpstreamNews(Record);
                    },
                    Terms.Bounds.laterReaderDelay(),
                    Terms.Bounds.laterReaderRetryPeriod()}),
      Evacuations(Terms.Feeds.EvacuationPrefix, Terms.Bounds.lostOrderGrace()),
      Registry(Terms.Bounds.lapseGrace()), Limits(Identity.Name.Value),
      Quarantine(Identity.Name.Value), Budget(Terms.Resends),
      Usage(usageTerms(Terms)),
      Requests({Registry, Load, Cache, FailureTracker, Limits, Model,
                Quarantine, Budget, Usage},
               Identity.Zone, Terms.Regions),
      Duties(dutyTerms(Terms), Identity),
      Copies(Identity.Zone, Terms.Bounds.maxUsageWait()),
      Capacity(Terms.Bounds.UpstreamReport), Relays(Identity) {}

routing_node::~routing_node() = default;

void routing_node::append(effect_list &&From, routing_effects &Effects) {
  for (effect &Effect : From)
    std::visit(
        [&](auto &Value) {
          using type = std::decay_t<decltype(Value)>;
          if constexpr (std::is_constructible_v<routing_effect, type>)
            Effects.emplace_back(std::move(Value));
        },
        Effect);
}

void routing_node::handle(const routing_event &Event,
                          routing_effects &Effects) {
  size_t From = Effects.size();
  LastEvent = Event.Now;
  std::visit([&](const auto &Body) { onEvent(Body, Event, Effects); },
             Event.Body);
  if (bool Ready = isReady(); Ready != WasReady) {
    WasReady = Ready;
    HasServed = HasServed || Ready;
    Effects.push_back(set_ready{Ready});
    Effects.push_back(
        decision(Ready ? "ready" : "not-ready")
            .add("config_known", ConfigFeed.isKnown() ? 1 : 0)
            .add("upstreams", static_cast<int64_t>(Registry.size()))
            .add("draining", DrainingSince ? 1 : 0)
            .line(log_level::Info));
  }
  expandBroadcasts(From, Effects);
}

bool routing_node::isReady() const {
  return Table && UpstreamFeed.isKnown() && !DrainingSince &&
         !mayHaveOldConfig(LastEvent);
}

int64_t routing_node::configVersion() const {
  return Table ? Table->config().Version : 0;
}

bool routing_node::mayHaveOldConfig(steady_time Now) const {
  if (HasServed || StoreEra <= first_store_era || !StartedAt)
    return false;
  duration Age = Now - *StartedAt;
  if (PeersConfigVersion == 0)
    return Age < first_report_wait;
  return configVersion() < PeersConfigVersion &&
         Age < first_report_wait + 2 * Terms.Bounds.ConfigInForce;
}

router_context routing_node::contextOf(const routing_event &Event) const {
  return {Event.Now,
          Clock.at(Event.Now),
          Event.Random,
          UpstreamFeed.isKnown() ? UpstreamFeed.age(Event.Now) : duration{},
          entryCount(),
          Relays.inUse() || reportInterval() > report_period,
          &Relays};
}

int64_t routing_node::zoneExchangePeriod() const {
  bool IsByTimes =
      Table &&
      std::any_of(Table->config().Services.begin(),
                  Table->config().Services.end(), [&](const service &Service) {
                    return isPlacedByTimes(Service,
                                           Table->routesTo(Service.Name));
                  });
  return IsByTimes ? 1 : reports_per_zone_exchange;
}

duration routing_node::reportInterval() const {
  if (Relays.inUse())
    return std::max<duration>(
        report_period, std::chrono::seconds(Relays.zoneEntries().size()) /
                           relayed_reports_per_second);
  return std::max<duration>(report_period, std::chrono::seconds(entryCount()) /
                                               reports_per_second);
}

void routing_node::expandBroadcasts(size_t From, routing_effects &Effects) {
  routing_effects Sent;
  for (size_t I = From; I < Effects.size(); ++I)
    if (auto *Tell = std::get_if<broadcast_to_entries>(&Effects[I]))
      sendTo(recipients(), Tell->Message, Sent);
  if (Sent.empty())
    return;
  std::erase_if(Effects, [](const routing_effect &Effect) {
    return std::holds_alternative<broadcast_to_entries>(Effect);
  });
  std::move(Sent.begin(), Sent.end(), std::back_inserter(Effects));
}

// --------------------------------------------------------------------- time

void routing_node::onEvent(const tick & /*Tick*/, const routing_event &Event,
                           routing_effects &Effects) {
  Clock.onOwn(Event.Now, Event.Wall);
  effect_list MemberEffects;
  Members.onTick(Event.Now, Event.Random, log_offset{}, MemberEffects);
  append(std::move(MemberEffects), Effects);

  Load.onTick(Event.Now);
  Cache.onTick(Event.Now);
  Model.onTick(Event.Now);
  FailureTracker.onTick(Event.Now);
  if (Event.Now >= NextRefresh)
    refreshEntries(Event.Now, Effects);
  ConfigFeed.onTick(Event.Now, ConfigRank, Effects);
  UpstreamFeed.onTick(Event.Now, UpstreamRank, Effects);
  logStoreRecovery(Event.Now, Effects);
  Registry.onTick(Event.Now, UpstreamFeed.isStoreFailing());
  applyEvacuations(Evacuations.onTick(Event.Now, ConfigFeed.isStoreFailing(),
                                      ConfigFeed.age(Event.Now)),
                   Effects);
  router_context Context = contextOf(Event);
  Limits.onTick(Event.Now, Context.TrueTime);
  Quarantine.onTick(Event.Now, Context.TrueTime);
  logQuarantine(Effects);
  Requests.onTick(Context, Effects);
  if (!DrainingSince && (Terms.ReportsUsage || Terms.OrdersUpstreams))
    performDuties(Event, Effects);
  if (Event.Now >= NextReport)
    sendOwnReport(Event, Effects);
  checkDrain(Event, Effects);
}

void routing_node::refreshEntries(steady_time Now, routing_effects &Effects) {
  StartedAt = StartedAt.value_or(Now);
  NextRefresh = Now + std::max<duration>(entries_refresh_period,
                                         entry_refresh_share * entryCount());
  Others = Members.alive(wire::member_role::Entry);
  std::erase_if(Others, [&](const wire::member &Member) {
    return Member.Name == Identity.Name.Value;
  });
  Relays.setEntries(Others);
  updateFigureKeepers();
  Budget.setEntries(entryCount());
  for (keyed_feed *Feed : {&ConfigFeed, &UpstreamFeed}) {
    Feed->setRecipientCount(Relays.inUse() ? Relays.zoneEntries().size()
                                           : Others.size());
    Feed->setMarkDelay(Relays.inUse()
                           ? std::optional(mark_hops * reportInterval())
                           : std::nullopt);
  }
  ConfigRank = updateReaderRank(ConfigFeed, Now);
  UpstreamRank = updateReaderRank(UpstreamFeed, Now);
  Duties.setCandidates(entryCount());
  updateLimitShares(Now);
  reportGauges(Now, Effects);
}

void routing_node::reportGauges(steady_time Now, routing_effects &Effects) {
  auto Cold = std::count_if(
      Registry.all().begin(), Registry.all().end(),
      [&](const auto &Item) { return Now < Item.second.coldUntil(); });
  if (std::exchange(ReportedCold, Cold) != Cold)
    Effects.push_back(
        set_gauge{"monsoonreel_cold_upstreams", {}, static_cast<double>(Cold)});
  upstream_limits::summary Limited = Limits.total(Now);
  if (std::exchange(ReportedLimits,
                    std::pair(Limited.Upstreams, Limited.Share)) ==
      std::pair(Limited.Upstreams, Limited.Share))
    return;
  Effects.push_back(set_gauge{"monsoonreel_limited_upstreams",
                              {},
                              static_cast<double>(Limited.Upstreams)});
  Effects.push_back(
      set_gauge{"monsoonreel_upstream_limit_share", {}, Limited.Share});
}

void routing_node::updateLimitShares(steady_time Now) {
  std::vector<std::string> Names;
  Names.reserve(Others.size());
  for (const wire::member &Member : Others)
    Names.push_back(Member.Name);
  updateQuarantine(Names, Now);
  Limits.setEntries(std::move(Names), Now);
  // Other entries do not count on an entry that drains, and an entry that has
  // just started does not know all others.
  Limits.setSharing(!DrainingSince && Now - *StartedAt >= limit_warmup_time,
                    Now);
}

void routing_node::updateQuarantine(const std::vector<std::string> &Names,
                                    steady_time Now) {
  Quarantine.setEntries(Names);
  Quarantine.setTrying(!DrainingSince && Now - *StartedAt >= limit_warmup_time);
  Quarantine.setReportDelay(Relays.inUse() ? mark_hops * reportInterval()
                                           : 2 * reportInterval());
}

void routing_node::logQuarantine(routing_effects &Effects) {
  std::vector<part_quarantine::change> Changes = Quarantine.takeChanges();
  for (const part_quarantine::change &Change : Changes)
    Effects.push_back(decision("prompt-part")
                          .add("change", Change.What)
                          .add("part", absl::StrCat(absl::Hex(Change.Part)))
                          .add("round", Change.Round)
                          .add("crashes", Change.Crashes)
                          .add("other_crashes", Change.OtherCrashes)
                          .add("hold", Change.Hold)
                          .add("first_crash_age", Change.FirstAge)
                          .add("last_crash_age", Change.LastAge)
                          .line(log_level::Warning));
  if (!Changes.empty())
    Effects.push_back(set_gauge{"monsoonreel_held_prompt_parts",
                                {},
                                static_cast<double>(Quarantine.held())});
}

// Updates whether this entry is a later reader of the feed, and returns its
// rank.
size_t routing_node::updateReaderRank(keyed_feed &Feed, steady_time Now) const {
  uint64_t Own = rendezvousWeight(Feed.name(), Identity.Name.Value);
  size_t Rank = Now - *StartedAt < reader_warmup_time ? 1 : 0;
  size_t InZone = 0;
  for (const wire::member &Member : Others)
    if (rendezvousWeight(Feed.name(), Member.Name) > Own) {
      ++Rank;
      InZone += Member.Zone == Identity.Zone.Value ? 1 : 0;
    }
  Feed.setLaterReader(Rank >= last_reader_rank && InZone >= readers_in_zone &&
                      Relays.hasReportingRelay(Now));
  return Rank;
}

void routing_node::logStoreRecovery(steady_time Now, routing_effects &Effects) {
  bool Fails = ConfigFeed.isStoreFailing() || UpstreamFeed.isStoreFailing();
  if (Fails || !std::exchange(StoreFailing, false))
    return;
  steady_time FailedAt =
      std::max(ConfigFeed.lastFailure(), UpstreamFeed.lastFailure());
  Effects.push_back(decision("store-regained")
                        .add("last_failure_age", Now - FailedAt)
                        .line(log_level::Info));
}

// ------------------------------------------------------- callers, upstreams

void routing_node::onEvent(const route_request &Arrived,
                           const routing_event &Event,
                           routing_effects &Effects) {
  Requests.onArrival(Arrived, usableTable(Event.Now), contextOf(Event),
                     Effects);
}

std::shared_ptr<const route_table>
routing_node::usableTable(steady_time Now) const {
  bool IsUsable = UpstreamFeed.isKnown() && !mayHaveOldConfig(Now);
  return IsUsable ? Table : nullptr;
}

explanation routing_node::explain(const route_request &Asked, steady_time Now,
                                  wall_time Wall, uint64_t Random) const {
  routing_event Event{Now, Wall, Random, Asked};
  return Requests.explain(Asked, usableTable(Now), contextOf(Event));
}

void routing_node::onEvent(const route_caller_gone &Gone,
                           const routing_event &Event,
                           routing_effects &Effects) {
  Requests.onCallerGone(Gone.Request, contextOf(Event), Effects);
}

void routing_node::onEvent(const caller_lags &Lag, const routing_event &Event,
                           routing_effects & /*Effects*/) {
  Requests.onCallerLags(Lag, Event.Now);
}

void routing_node::onEvent(const callers_reading &Reading,
                           const routing_event & /*Event*/,
                           routing_effects & /*Effects*/) {
  BeingRead = Reading.Requests;
}

void routing_node::onEvent(const answer_head &Head, const routing_event &Event,
                           routing_effects &Effects) {
  Requests.onHead(Head, contextOf(Event), Effects);
}

void routing_node::onEvent(const answer_data &Data, const routing_event &Event,
                           routing_effects &Effects) {
  Requests.onData(Data, contextOf(Event), Effects);
}

void routing_node::onEvent(const answer_end &End, const routing_event &Event,
                           routing_effects &Effects) {
  Requests.onEnd(End, contextOf(Event), Effects);
}

void routing_node::onEvent(const route_attempt_failed &Failed,
                           const routing_event &Event,
                           routing_effects &Effects) {
  Requests.onFailed(Failed, contextOf(Event), Effects);
}

// -------------------------------------------------------------------- drain

void routing_node::onEvent(const drain_requested & /*Drain*/,
                           const routing_event &Event,
                           routing_effects &Effects) {
  if (DrainingSince)
    return;
  DrainingSince = Event.Now;
  Requests.drain(Event.Now + Terms.Bounds.drainServingTime(),
                 Event.Now + Terms.Bounds.drainTime());
  Members.announceLeaving();
  Limits.setSharing(false, Event.Now);
  Duties.release();
  Effects.push_back(decision("draining")
                        .add("open", static_cast<int64_t>(Requests.open()))
                        .line(log_level::Info));
}

void routing_node::checkDrain(const routing_event &Event,
                              routing_effects &Effects) {
  if (!DrainingSince || Finished)
    return;
  Duties.onTick(Event.Now, Event.Random, Effects);
  if (Event.Now - *DrainingSince < Terms.Bounds.drainServingTime())
    return;
  // Requests that arrive before idle connections are closed are counted at the
  // next tick.
  if (!std::exchange(StoppedAccepting, true)) {
    Effects.push_back(stop_accepting{});
    return;
  }
  if (Requests.open() > 0 || BeingRead > 0 || !Duties.isReleased())
    return;
  Finished = true;
  sendOwnReport(Event, Effects);
  Effects.push_back(drain_finished{});
}

} // namespace monsoonreel
