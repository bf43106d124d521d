// Implements the duties that one `routing_node` performs for all entries: usage
// reports and orders of upstreams.

#include <algorithm>
#include <utility>

#include "routing/decision_log.h"
#include "routing/routing_node.h"

namespace monsoonreel {

void routing_node::onEvent(const duty_appended &Appended,
                           const routing_event &Event,
                           routing_effects &Effects) {
  onStoreEra(Appended.Era, "store", Event.Now, Effects);
  Duties.onAppended(Appended, Event.Now, Effects);
  logHolder(Effects);
}

void routing_node::onEvent(const duty_log_read &Read,
                           const routing_event &Event,
                           routing_effects &Effects) {
  onStoreEra(Read.Era, "store", Event.Now, Effects);
  Duties.onRead(Read, Event.Now, Effects);
  logHolder(Effects);
}

void routing_node::logHolder(routing_effects &Effects) {
  if (Duties.holder() == LoggedHolder)
    return;
  LoggedHolder = Duties.holder();
  Effects.push_back(decision("duty-holder")
                        .add("holder", LoggedHolder)
                        .add("fence", Duties.fence())
                        .add("own", Duties.isMine() ? 1 : 0)
                        .line(log_level::Info));
}

void routing_node::performDuties(const routing_event &Event,
                                 routing_effects &Effects) {
  Duties.onTick(Event.Now, Event.Random, Effects);
  if (Terms.ReportsUsage)
    exchangeFigures(Event.Now, Effects);
  if (Terms.ReportsUsage && Duties.mayAct(Event.Now))
    reportUsage(Event, Effects);
  bool Known = Table && UpstreamFeed.isKnown();
  if (!Terms.OrdersUpstreams || !Known || Event.Now < NextPlan)
    return;
  NextPlan = Event.Now + capacity_plan_period;
  capacity_input Input{Table->config(), Registry, Load};
  if (!Duties.mayAct(Event.Now))
    return Capacity.observe(Input, Event.Now);
  for (const capacity_target &Target : Capacity.plan(Input, Event.Now)) {
    Effects.push_back(order_capacity{Target.Service, Target.Zone, Target.Count,
                                     Target.Reclaimable, Duties.fence(),
                                     Duties.notAfter()});
    Effects.push_back(decision("capacity-ordered")
                          .add("service", Target.Service)
                          .add("zone", Target.Zone)
                          .add("reclaimable", Target.Reclaimable ? 1 : 0)
                          .add("count", Target.Count)
                          .add("fence", Duties.fence())
                          .add("registry_age", UpstreamFeed.age(Event.Now))
                          .line(log_level::Info));
  }
}

// ------------------------------------------------------------------- figures

void routing_node::exchangeFigures(steady_time Now, routing_effects &Effects) {
  std::optional<int64_t> Fence;
  if (Duties.isMine())
    Fence = Duties.fence();
  if (Copies.setTerm(Fence, StoreEra, Now))
    updateFigureKeepers();
  int64_t First = Usage.windowAt(Clock.at(Now)) - Usage.terms().reported();
  for (figure_message &Each :
       Copies.takeMessages(Duties.writtenFigures(), First, Now))
    sendFigures(std::move(Each.To), std::move(Each.Request), Effects);
}

void routing_node::updateFigureKeepers() {
  if (!Duties.isMine())
    return;
  std::vector<address> Keepers;
  if (Relays.inUse()) {
    Keepers = Relays.ofOwnZone();
    const std::vector<address> &Far = Relays.ofOtherZones();
    Keepers.insert(Keepers.end(), Far.begin(), Far.end());
  }
  Copies.setEntries(Others, Keepers);
}

void routing_node::onFigureRequest(const address &From,
                                   const wire::figure_request &Request,
                                   steady_time Now, routing_effects &Effects) {
  onStoreEra(Request.Era, "peer", Now, Effects);
  // A former holder must not count on entries that know a newer one.
  if (Request.Era != StoreEra || Request.Fence < Duties.highestFence())
    return;
  Duties.keepFigures(Request.Figures);
  int64_t First = Request.First;
  for (const wire::window_counts &Figures : Request.Figures)
    First = std::min(First, Figures.Window);
  wire::figure_reply Reply = replyTo(Request, Duties.knownFigures(First));
  if (Request.Asks) {
    Reply.__set_UpMicros(toMicros(Now - StartedAt.value_or(Now)));
    if (steady_time Since = Duties.eraKnownSince(); Since != steady_time::min())
      Reply.__set_EraMicros(toMicros(Now - Since));
  }
  sendFigures({From}, wire::peer_message(std::move(Reply)), Effects);
}

void routing_node::onFigureReply(const address &From,
                                 const wire::figure_reply &Reply,
                                 steady_time Now, routing_effects &Effects) {
  if (!Copies.onReply(From, Reply, Now))
    return;
  for (const wire::window_counts &Figures :
       Duties.rememberFigures(Reply.Figures))
    Effects.push_back(
        decision("usage-figures-recovered")
            .add("window", Figures.Window)
            .add("from", From)
            .add("organisations", static_cast<int64_t>(Figures.Counts.size()))
            .line(log_level::Warning));
}

void routing_node::logMissingCopies(int64_t Window, steady_time Now,
                                    routing_effects &Effects) {
  if (!Copies.isLate(Window, Now) || Window <= LoggedUncopied)
    return;
  LoggedUncopied = Window;
  Effects.push_back(decision("usage-copies-missing")
                        .add("window", Window)
                        .add("after_end", Clock.at(Now) - Usage.endOf(Window))
                        .line(log_level::Warning));
}

// Lost datagrams are repeated, but those that are too large are never sent.
void routing_node::sendFigures(std::vector<address> To,
                               wire::peer_message Message,
                               routing_effects &Effects) {
  if (encodeMessage(Message).size() > max_figure_datagram_bytes)
    return sendTo(To, Message, Effects);
  Effects.push_back(send_datagrams{std::move(To), std::move(Message)});
}

// ------------------------------------------------------------------- reports

// Returns the name of a live entry that has sent no report later than
// `usage_report_period` after the end of the window; empty if there is none.
std::string routing_node::missingReport(int64_t Window, steady_time Now) const {
  duration SinceEnd = Clock.at(Now) - Usage.endOf(Window);
  steady_time Enough = Now - SinceEnd + usage_report_period;
  for (const wire::member &Member : Others) {
    auto It = ReportedAt.find(address(Member.Address));
    if (It == ReportedAt.end() || It->second < Enough)
      return Member.Name;
  }
  return {};
}

// Figures that nobody knows were not written, if the log would show them. A
// restore or deleted history may have taken them from the log. They are then
// known to entries that keep copies, unless the holder and all keepers were
// lost.
std::string routing_node::reasonToLeaveOut(int64_t Window,
                                           steady_time EndedAt) const {
  steady_time EraSince =
      std::min(Duties.eraKnownSince(), Copies.eraKnownSince());
  bool MayBeRestored = EndedAt < EraSince;
  if (!MayBeRestored && Duties.wouldHaveRead(Window, EndedAt))
    return {};
  bool IsUnaware = StartedAt && *StartedAt > EndedAt;
  size_t Unaware = Copies.countUnaware(EndedAt) + (IsUnaware ? 1 : 0);
  size_t Lost =
      Members.countLostSince(wire::member_role::Entry, EndedAt) + Unaware;
  if (Lost <= safe_entry_losses && Unaware < entryCount())
    return {};
  return MayBeRestored ? "store-restored" : "history-cut";
}

void routing_node::logLeftOut(int64_t Window, const std::string &Reason,
                              steady_time EndedAt, routing_effects &Effects) {
  if (Window <= LoggedLeftOut)
    return;
  LoggedLeftOut = Window;
  Effects.push_back(
      decision("usage-left-out")
          .add("window", Window)
          .add("reason", Reason)
          .add("entries", static_cast<int64_t>(entryCount()))
          .add("unaware", static_cast<int64_t>(Copies.countUnaware(EndedAt)))
          .add("lost", static_cast<int64_t>(Members.countLostSince(
                           wire::member_role::Entry, EndedAt)))
          .line(log_level::Warning));
  Effects.push_back(count_metric{
      "monsoonreel_usage_windows_left_out_total", {{"reason", Reason}}, 1});
}

void routing_node::reportUsage(const routing_event &Event,
                               routing_effects &Effects) {
  wall_time TrueTime = Clock.at(Event.Now);
  int64_t Present = Usage.windowAt(TrueTime);
  int64_t Reported = Usage.terms().reported();
  for (int64_t Window = Present - Reported; Window < Present; ++Window) {
    const wire::window_counts *Figures = Duties.figures(Window);
    duration SinceEnd = TrueTime - Usage.endOf(Window);
    if (!Figures) {
      if (SinceEnd < usage_settle_time || !Copies.hasAsked(Event.Now))
        continue;
      std::string Missing = missingReport(Window, Event.Now);
      if (!Missing.empty() && SinceEnd < Terms.Bounds.maxUsageWait())
        continue;
      std::string Reason;
      if (!Duties.hasFigures(Window))
        Reason = reasonToLeaveOut(Window, Event.Now - SinceEnd);
      if (!Reason.empty()) {
        logLeftOut(Window, Reason, Event.Now - SinceEnd, Effects);
        continue;
      }
      if (!Missing.empty())
        Effects.push_back(decision("usage-incomplete")
                              .add("window", Window)
                              .add("missing", Missing)
                              .add("after_end", SinceEnd)
                              .line(log_level::Warning));
      Duties.queueFigures(Usage.sum(Window));
      continue;
    }
    if (!Copies.areEnough(Window, Event.Now)) {
      logMissingCopies(Window, Event.Now, Effects);
      continue;
    }
    steady_time &NextSend =
        UsageSent.try_emplace(Window, steady_time::min()).first->second;
    if (Event.Now < NextSend)
      continue;
    NextSend = Event.Now + usage_retry_period;
    Effects.push_back(
        report_usage{*Figures, Duties.fence(), Duties.notAfter()});
    Effects.push_back(
        decision("usage-reported")
            .add("window", Window)
            .add("organisations", static_cast<int64_t>(Figures->Counts.size()))
            .add("fence", Duties.fence())
            .add("after_end", SinceEnd)
            .line(log_level::Info));
  }
  UsageSent.erase(UsageSent.begin(),
                  UsageSent.lower_bound(Present - 2 * Reported));
}

void routing_node::onEvent(const usage_answered &Answer,
                           const routing_event & /*Event*/,
                           routing_effects &Effects) {
  if (Answer.Accepted) {
    UsageSent[Answer.Window] = steady_time::max();
    return;
  }
  Effects.push_back(decision("usage-report-failed")
                        .add("window", Answer.Window)
                        .line(log_level::Warning));
}

void routing_node::onEvent(const capacity_answered &Answer,
                           const routing_event &Event,
                           routing_effects &Effects) {
  Capacity.onAnswered(Answer, Event.Now);
  if (!Answer.Accepted)
    Effects.push_back(decision("capacity-order-failed")
                          .add("service", Answer.Service)
                          .add("zone", Answer.Zone)
                          .add("reclaimable", Answer.Reclaimable ? 1 : 0)
                          .add("count", Answer.Count)
                          .add("none_available", Answer.NoneAvailable ? 1 : 0)
                          .line(log_level::Warning));
}

} // namespace monsoonreel
