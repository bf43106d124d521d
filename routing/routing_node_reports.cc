// Implements the exchange of reports between a `routing_node` and other
// entries.

#include <algorithm>
#include <optional>
#include <utility>

#include "routing/decision_log.h"
#include "routing/routing_node.h"

namespace monsoonreel {

namespace {

// Returns the duty claim in a report, if any.
template <typename T> std::optional<duty_claim_view> claimOf(const T &Report) {
  if (Report.DutyClaimOffset < 0 || Report.DutyHolder.empty())
    return std::nullopt;
  return duty_claim_view{Report.DutyHolder,
                         Report.DutyIncarnation,
                         Report.DutyFence,
                         {Report.DutyClaimEra, Report.DutyClaimOffset}};
}

template <typename T> void writeClaim(const duty_claim_view &Claim, T &Report) {
  bool IsValid = !Claim.Released && !Claim.isOutdated();
  Report.DutyClaimOffset = IsValid ? Claim.At.Offset : -1;
  Report.DutyClaimEra = Claim.At.Era;
  Report.DutyHolder = Claim.Holder;
  Report.DutyIncarnation = Claim.Incarnation;
  Report.DutyFence = Claim.Fence;
}

} // namespace

void routing_node::onEvent(const peer_message_received &Received,
                           const routing_event &Event,
                           routing_effects &Effects) {
  effect_list MemberEffects;
  if (Members.onMessage(Received, Event.Now, MemberEffects))
    return append(std::move(MemberEffects), Effects);
  const address &From = Received.FromAddress;
  if (const auto *Report = std::get_if<wire::entry_report>(&Received.Message))
    return onReport(From, *Report, Event.Now, Effects);
  if (const auto *Report = std::get_if<wire::relay_report>(&Received.Message))
    return onRelayReport(From, *Report, Event.Now, Effects);
  if (const auto *Report = std::get_if<wire::usage_report>(&Received.Message))
    return onUsageReport(From, *Report, Event.Now);
  if (const auto *Asked = std::get_if<wire::figure_request>(&Received.Message))
    return onFigureRequest(From, *Asked, Event.Now, Effects);
  if (const auto *Reply = std::get_if<wire::figure_reply>(&Received.Message))
    return onFigureReply(From, *Reply, Event.Now, Effects);
  if (const auto *News = std::get_if<wire::feed_news>(&Received.Message))
    return onNews(From, *News, Event.Now, Effects);
  if (const auto *Ask = std::get_if<wire::placement_ask>(&Received.Message))
    return Requests.onAsk(From, *Ask, Relays.isRelay() ? Table : nullptr,
                          contextOf(Event), Effects);
  if (const auto *Grant = std::get_if<wire::placement_grant>(&Received.Message))
    return Requests.onGrant(From, *Grant, contextOf(Event), Effects);
}

// ---------------------------------------------------------------- receiving

void routing_node::onReport(const address &From,
                            const wire::entry_report &Report, steady_time Now,
                            routing_effects &Effects) {
  ReportedAt[From] = Now;
  // Where relays are used, only the relays sum up the load of the entries of
  // their zone.
  if (!Relays.inUse() || (Relays.isRelay() && Relays.isInOwnZone(From)))
    Load.onReport(From, Report, Now);
  Clock.onPeer(From, Now, wall_time(fromMicros(Report.WallMicros)));
  Usage.onReport(From, Report.Incarnation, Report.Windows);
  Duties.rememberFigures(Report.Figures);
  onSharedParts(Report, Now, Effects);
}

// Handles the fields that reports of entries and of relays share.
template <typename T>
void routing_node::onSharedParts(const T &Report, steady_time Now,
                                 routing_effects &Effects) {
  onStoreEra(Report.StoreEra, "peer", Now, Effects);
  PeersConfigVersion = std::max(PeersConfigVersion, Report.ConfigVersion);
  onLimits(Report.Limits, Now, Effects);
  Quarantine.onReport(Report.Parts, Now);
  onLeavingRuns(Report.Leaving, Now);
  // A holder that does not know the new era yet counts on figures that may be
  // lost.
  if (Report.StoreEra == 0 || Report.StoreEra == StoreEra)
    PeersFiguredWindow = std::max(PeersFiguredWindow, Report.LastFiguredWindow);
  onMarks(Report.Feeds, Now);
  if (auto Claim = claimOf(Report))
    Duties.onPeerClaim(*Claim, Now);
}

void routing_node::onRelayReport(const address &From,
                                 const wire::relay_report &Report,
                                 steady_time Now, routing_effects &Effects) {
  Relays.onZoneSum(From, Now);
  for (const wire::zone_uses &Sums : Report.Zones) {
    duration Age = std::max(fromMicros(Sums.AgeMicros), duration::zero());
    zone_name Zone(Sums.Zone);
    bool IsOwn = Zone == Identity.Zone;
    // A relay has newer data about its own zone from the reports of the zone's
    // entries.
    if (IsOwn && Relays.isRelay())
      continue;
    Load.onZone(Sums, IsOwn, Age, Now);
    if (IsOwn || !Relays.isRelay())
      continue;
    auto [It, New] = OtherZones.try_emplace(Zone);
    if (New || Now - Age >= It->second.At)
      It->second = {Sums, Now - Age};
  }
  Clock.onPeer(From, Now, wall_time(fromMicros(Report.TrueMicros)));
  for (const std::string &Service : Report.ShortOfRoom)
    if (Table && Table->findService(pool_name(Service)))
      Requests.onUrgentRefused(pool_name(Service), Now);
  onSharedParts(Report, Now, Effects);
}

void routing_node::onUsageReport(const address &From,
                                 const wire::usage_report &Report,
                                 steady_time Now) {
  ReportedAt[From] = Now;
  Usage.onReport(From, Report.Incarnation, Report.Windows);
  Duties.rememberFigures(Report.Figures);
}

void routing_node::onMarks(const std::vector<wire::feed_mark> &Marks,
                           steady_time Now) {
  for (const wire::feed_mark &Mark : Marks)
    if (keyed_feed *Feed = feedOf(Mark.Feed))
      Feed->onMark(Mark, Now);
}

void routing_node::onLeavingRuns(const std::vector<wire::upstream_run> &Runs,
                                 steady_time Now) {
  for (const wire::upstream_run &Run : Runs)
    Registry.onLeaving({upstream_name(Run.Upstream),
                        std::chrono::milliseconds(Run.StartedAtMillis)},
                       Now);
}

void routing_node::onLimits(const std::vector<wire::upstream_limit> &Reported,
                            steady_time Now, routing_effects &Effects) {
  for (const wire::upstream_limit &Each : Reported)
    if (Limits.onReport(Each, Now))
      Effects.push_back(
          decision("upstream-limit")
              .add("upstream", Each.Upstream)
              .add("limit", Limits.describe(upstream_name(Each.Upstream)))
              .add("reported_age", fromMicros(Each.AgeMicros))
              .line(log_level::Info));
}

void routing_node::onNews(const address &From, const wire::feed_news &News,
                          steady_time Now, routing_effects &Effects) {
  if (!News.Feed.empty() && News.Feed == Terms.Feeds.EvacuationPrefix)
    return onUnconfirmedOrders(News, Now, Effects);
  keyed_feed *Feed = feedOf(News.Feed);
  if (!Feed)
    return;
  onStoreEra(News.Era, "peer", Now, Effects);
  bool IsNew = store_position{News.Era == 0 ? StoreEra : News.Era, News.End} >
               Feed->position();
  applyChanges(*Feed, Feed->onNews(News, Now), Now, Effects);
  if (!IsNew || !Relays.inUse() || !Relays.isRelay())
    return;
  std::vector<address> Entries = Relays.zoneEntries();
  const std::vector<address> &ZoneRelays = Relays.ofOwnZone();
  std::erase_if(Entries, [&](const address &Entry) {
    return Entry == From || std::find(ZoneRelays.begin(), ZoneRelays.end(),
                                      Entry) != ZoneRelays.end();
  });
  sendTo(Entries, wire::peer_message(News), Effects);
}

// ------------------------------------------------------------------ sending

std::vector<address> routing_node::recipients() const {
  std::vector<address> Addresses;
  if (!Relays.inUse()) {
    Addresses.reserve(Others.size());
    for (const wire::member &Member : Others)
      Addresses.emplace_back(Member.Address);
    return Addresses;
  }
  Addresses = Relays.isRelay() ? Relays.zoneEntries() : Relays.ofOwnZone();
  const std::vector<address> &Far = Relays.ofOtherZones();
  Addresses.insert(Addresses.end(), Far.begin(), Far.end());
  return Addresses;
}

void routing_node::sendTo(const std::vector<address> &To,
                          const wire::peer_message &Message,
                          routing_effects &Effects) {
  for (const address &Each : To)
    Effects.push_back(send_message{node_name(), Each, Message});
}

void routing_node::sendOwnReport(const routing_event &Event,
                                 routing_effects &Effects) {
  NextReport = Event.Now + reportInterval();
  bool IsUsageDue = Event.Now >= NextUsageReport || Finished;
  int64_t Present = Usage.windowAt(Clock.at(Event.Now));
  int64_t FirstReported = Present - Usage.terms().reported();
  if (IsUsageDue) {
    NextUsageReport = Event.Now + usage_report_period;
    Usage.forgetBefore(std::max(std::min(PeersFiguredWindow + 1, FirstReported),
                                Present - Usage.terms().kept()));
  }
  wire::entry_report Report;
  Report.StoreEra = StoreEra;
  Report.ConfigVersion = configVersion();
  Report.Incarnation = Identity.Incarnation.Value;
  Report.Sequence = ++ReportSequence;
  Report.Uses = Load.reportOwnUses(Event.Now);
  Report.Leaving = leavingRuns(Event.Now);
  Report.Limits = Limits.recent(true, Event.Now);
  Report.Parts = Quarantine.report(true, Event.Now);
  if (IsUsageDue && !Relays.inUse())
    Report.Windows = Usage.ownWindows(PeersFiguredWindow + 1);
  if (Relays.inUse())
    Report.Feeds = marks(Event.Now);
  Report.WallMicros = toMicros(Event.Wall.time_since_epoch());
  // Only the holder knows when its lease ends. Other entries do not repeat its
  // claim in their reports, because that would renew it.
  Report.DutyClaimOffset = -1;
  if (Duties.isMine()) {
    writeClaim(Duties.claim(), Report);
    Report.LastFiguredWindow = Duties.lastFiguredWindow();
  }
  if (Relays.inUse() && IsUsageDue)
    sendUsageReport(Effects);
  // The last report is not repeated, so it is not sent as a datagram.
  if (Finished) {
    Effects.push_back(
        broadcast_to_entries{wire::peer_message(std::move(Report))});
    return;
  }
  std::vector<address> To = Relays.inUse() ? Relays.ofOwnZone() : recipients();
  // Before the report, because an entry that has just started waits only for
  // the first report.
  sendUnconfirmedOrders(To, Event.Now, Effects);
  Effects.push_back(
      send_datagrams{std::move(To), wire::peer_message(std::move(Report))});
  if (Relays.isActing(Event.Now))
    sendZoneReport(Event, Effects);
}

const wire::member *routing_node::dutyHolder() const {
  auto It = std::find_if(Others.begin(), Others.end(),
                         [&](const wire::member &Member) {
                           return Member.Name == Duties.holder();
                         });
  return It == Others.end() ? nullptr : &*It;
}

// Only the holder of the lease needs the counts. A new holder gets all counts
// that have not been reported yet as soon as it is known.
void routing_node::sendUsageReport(routing_effects &Effects) {
  const wire::member *Holder = dutyHolder();
  if (!Holder)
    return;
  wire::usage_report Report;
  Report.Incarnation = Identity.Incarnation.Value;
  Report.Windows = Usage.ownWindows(PeersFiguredWindow + 1);
  if (Finished)
    return sendTo({address(Holder->Address)},
                  wire::peer_message(std::move(Report)), Effects);
  Effects.push_back(send_datagrams{{address(Holder->Address)},
                                   wire::peer_message(std::move(Report))});
}

void routing_node::sendZoneReport(const routing_event &Event,
                                  routing_effects &Effects) {
  wire::relay_report Report;
  Report.StoreEra = StoreEra;
  Report.ConfigVersion = std::max(configVersion(), PeersConfigVersion);
  wire::zone_uses Own;
  Own.Zone = Identity.Zone.Value;
  Own.Uses = Load.sumOfEntries();
  Report.Zones.push_back(std::move(Own));
  Report.Feeds = marks(Event.Now);
  writeClaim(Duties.claim(), Report);
  Report.LastFiguredWindow = std::max(
      PeersFiguredWindow, Duties.isMine() ? Duties.lastFiguredWindow() : 0);
  Report.TrueMicros = toMicros(Clock.at(Event.Now).time_since_epoch());
  Report.Leaving = leavingRuns(Event.Now);
  Report.Limits = Limits.recent(false, Event.Now);
  Report.Parts = Quarantine.report(false, Event.Now);
  Report.ShortOfRoom = Requests.servicesShortOfRoom(Event.Now);
  if (++RelayReports % zoneExchangePeriod() == 0) {
    sendUnconfirmedOrders(Relays.ofOtherZones(), Event.Now, Effects);
    Effects.push_back(
        send_datagrams{Relays.ofOtherZones(), wire::peer_message(Report)});
    for (const auto &[Zone, Far] : OtherZones) {
      duration Age = Event.Now - Far.At;
      if (Age >= report_expiry)
        continue;
      Report.Zones.push_back(Far.Uses);
      Report.Zones.back().AgeMicros = toMicros(Age);
    }
  }
  sendUnconfirmedOrders(Relays.zoneEntries(), Event.Now, Effects);
  Effects.push_back(send_datagrams{Relays.zoneEntries(),
                                   wire::peer_message(std::move(Report))});
}

std::vector<wire::feed_mark> routing_node::marks(steady_time Now) const {
  return {ConfigFeed.mark(Now), UpstreamFeed.mark(Now)};
}

std::vector<wire::upstream_run>
routing_node::leavingRuns(steady_time Now) const {
  std::vector<wire::upstream_run> Runs;
  for (const upstream_instance &Instance :
       Registry.leavingSince(Now - leaving_report_time)) {
    wire::upstream_run Run;
    Run.Upstream = Instance.Name.Value;
    Run.StartedAtMillis = Instance.StartedAt.count();
    Runs.push_back(std::move(Run));
  }
  return Runs;
}

} // namespace monsoonreel
