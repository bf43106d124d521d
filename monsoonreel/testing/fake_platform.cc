#include "monsoonreel/testing/fake_platform.h"

#include <algorithm>
#include <utility>

namespace monsoonreel::testing {

namespace {
constexpr size_t max_records_per_read = 50;
} // namespace

std::optional<event_body> fake_platform::carryOut(const effect &Effect) {
  if (Out)
    return std::nullopt;
  std::optional<event_body> Answer;
  if (const auto *Append = std::get_if<append_record>(&Effect))
    Answer =
        append_answered{Append->Call, append(Append->Stream, Append->Record)};
  else if (const auto *Read = std::get_if<read_log>(&Effect))
    Answer = read(Read->Stream, Read->From);
  else if (std::holds_alternative<read_vm_list>(Effect))
    Answer = vm_list_read{Vms};
  else if (const auto *Report = std::get_if<send_usage_report>(&Effect)) {
    usage_report_answered Answered{Report->Window, std::nullopt};
    if (ChecksFence && !Reports.empty() && Report->Fence < Reports.back().Fence)
      Answered.Error = platform_error::Fenced;
    else
      Reports.push_back(*Report);
    Answer = Answered;
  } else if (const auto *Order = std::get_if<send_order>(&Effect)) {
    Orders.push_back(Order->Intent);
    Answer = order_answered{Order->Intent.OrderId, std::nullopt};
  }
  return LoseAnswer ? std::nullopt : Answer;
}

log_offset fake_platform::append(const std::string &Stream,
                                 const wire::log_record &Record) {
  return appendBytes(Stream, encodeRecord(Record));
}

log_offset fake_platform::appendBytes(const std::string &Stream,
                                      std::string Bytes) {
  stream &Found = Streams[Stream];
  Found.Records.push_back(std::move(Bytes));
  return log_offset{static_cast<int64_t>(Found.Records.size())};
}

void fake_platform::dropBefore(const std::string &Stream, log_offset Horizon) {
  Streams[Stream].Horizon = Horizon;
}

log_records_read fake_platform::read(const std::string &Stream,
                                     log_offset From) const {
  log_records_read Read;
  Read.Stream = Stream;
  Read.From = From;
  auto Found = Streams.find(Stream);
  const stream Empty;
  const stream &Source = Found == Streams.end() ? Empty : Found->second;
  Read.Horizon = Source.Horizon;
  auto End = static_cast<int64_t>(Source.Records.size()) + 1;
  Read.End = log_offset{End};
  for (int64_t Offset = std::max(From, Source.Horizon).Value;
       Offset < End && Read.Records.size() < max_records_per_read; ++Offset) {
    wire::stored_record Record;
    Record.Offset = Offset;
    Record.Bytes = Source.Records[static_cast<size_t>(Offset) - 1];
    Read.Records.push_back(std::move(Record));
  }
  return Read;
}

} // namespace monsoonreel::testing
