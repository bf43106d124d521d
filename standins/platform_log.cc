#include "standins/platform_log.h"

#include <algorithm>

namespace monsoonreel::standin {

namespace {

double seconds(duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

platform_log::platform_log(log_limits Limits)
    : Limits(Limits), Tokens(Limits.AppendsPerSecond) {}

append_result platform_log::append(const std::string &Stream, std::string Bytes,
                                   steady_time Now) {
  using status = append_result::status;
  if (Bytes.size() > static_cast<size_t>(Limits.MaxRecordBytes))
    return {status::TooLarge, 0};
  if (!takeToken(Now))
    return {status::OverRate, 0};
  stream &Target = Streams[Stream];
  int64_t Offset = Target.Horizon + static_cast<int64_t>(Target.Records.size());
  Target.Records.push_back({Offset, std::move(Bytes), Now});
  return {status::Appended, Offset};
}

log_slice platform_log::read(const std::string &Stream, int64_t From, int Max,
                             steady_time Now) {
  stream &Source = Streams[Stream];
  dropOld(Source, Now);
  log_slice Slice;
  Slice.Horizon = Source.Horizon;
  Slice.End = Source.Horizon + static_cast<int64_t>(Source.Records.size());
  int64_t First = std::max(From, Source.Horizon);
  int64_t Last = std::min(Slice.End, First + std::max(Max, 0));
  for (int64_t Offset = First; Offset < Last; ++Offset)
    Slice.Records.push_back(Source.Records[Offset - Source.Horizon]);
  return Slice;
}

bool platform_log::takeToken(steady_time Now) {
  double Refill = seconds(Now - Refilled) * Limits.AppendsPerSecond;
  Tokens = std::min(Limits.AppendsPerSecond, Tokens + Refill);
  Refilled = Now;
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

void platform_log::dropOld(stream &Stream, steady_time Now) const {
  while (!Stream.Records.empty() &&
         Now - Stream.Records.front().Written > Limits.Retention) {
    Stream.Records.pop_front();
    ++Stream.Horizon;
  }
}

} // namespace monsoonreel::standin
