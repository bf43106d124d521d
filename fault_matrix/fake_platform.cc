#include "fault_matrix/fake_platform.h"

#include <algorithm>

#include "monsoonreel/ledger.h"

namespace monsoonreel::fault_matrix {

log_offset fake_platform::append(const std::string &Stream,
                                 const wire::log_record &Record) {
  auto &Records = Streams[Stream];
  wire::stored_record Stored;
  Stored.Offset = static_cast<int64_t>(Records.size()) + 1;
  Stored.Bytes = encodeRecord(Record);
  Records.push_back(std::move(Stored));
  log_offset Offset{static_cast<int64_t>(Records.size())};
  Reference.onRecord(Offset, Record);
  return Offset;
}

log_offset fake_platform::end(const std::string &Stream) const {
  auto Found = Streams.find(Stream);
  size_t Size = Found == Streams.end() ? 0 : Found->second.size();
  return log_offset{static_cast<int64_t>(Size) + 1};
}

bool fake_platform::hasNews(const read_log &Call) const {
  return Call.From < end(Call.Stream);
}

log_records_read fake_platform::read(const read_log &Call) const {
  auto Kept = Horizons.find(Call.Stream);
  log_offset Horizon = Kept == Horizons.end() ? log_offset{1} : Kept->second;
  log_records_read Answer{
      Call.Stream, Call.From, Horizon, end(Call.Stream), {}};
  auto Found = Streams.find(Call.Stream);
  if (Found == Streams.end())
    return Answer;
  const auto &Records = Found->second;
  auto First = static_cast<size_t>(std::max(Call.From, Horizon).Value) - 1;
  for (size_t Place = First;
       Place < Records.size() && Answer.Records.size() < max_records_per_read;
       ++Place)
    Answer.Records.push_back(Records[Place]);
  return Answer;
}

void fake_platform::dropBefore(const std::string &Stream, log_offset Offset) {
  Horizons[Stream] = Offset;
}

void fake_platform::report(const send_usage_report &Report) {
  // A late report of one who has renewed its lease meanwhile is no finding.
  if (Report.Fence < HighestReportFence &&
      !Reference.isSameHolder(std::string(usage_lease), Report.Fence,
                              HighestReportFence))
    Findings.push_back("usage report of a superseded holder, window " +
                       std::to_string(Report.Window));
  if (Report.Window > Reference.lastClosedWindow())
    Findings.push_back("report of window " + std::to_string(Report.Window) +
                       ", which no valid record closed");
  HighestReportFence = std::max(HighestReportFence, Report.Fence);
  auto [Place, New] = Reports.emplace(Report.Window, Report.Figures);
  if (!New && !(Place->second == Report.Figures))
    Findings.push_back("window " + std::to_string(Report.Window) +
                       " was reported with two figures");
}

void fake_platform::order(const wire::order_intent &Intent) {
  int64_t &Highest = HighestOrderFence[Intent.Zone];
  if (Intent.Fence < Highest && !OrderIds.contains(Intent.OrderId) &&
      !Reference.isSameHolder(orderLeaseName(zone_name(Intent.Zone)),
                              Intent.Fence, Highest))
    Findings.push_back("order of a superseded holder in " + Intent.Zone);
  if (!Reference.hasValidIntent(Intent.OrderId))
    Findings.push_back("order " + Intent.OrderId + " without a valid intent");
  Highest = std::max(Highest, Intent.Fence);
  OrderIds.insert(Intent.OrderId);
}

} // namespace monsoonreel::fault_matrix
