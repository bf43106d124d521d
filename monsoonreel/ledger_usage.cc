// Replay of the ledger's usage batches and windows.

#include "monsoonreel/ledger.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

// Larger figures in one increment are not plausible, and their sums could
// overflow.
constexpr int64_t max_increment = int64_t{1} << 40;

bool isPlausible(int64_t Figure) {
  return Figure >= 0 && Figure <= max_increment;
}

bool isPlausible(const wire::usage_increment &Increment) {
  return Increment.Organisation.size() <= max_name_bytes &&
         Increment.ServiceClass.size() <= max_name_bytes &&
         isPlausible(Increment.Requests) &&
         isPlausible(Increment.PromptTokens) &&
         isPlausible(Increment.OutputTokens);
}

bool isPlausible(const wire::usage_batch &Batch) {
  if (Batch.Sequence <= 0 || Batch.Increments.size() > max_increments_per_batch)
    return false;
  for (const wire::usage_increment &Increment : Batch.Increments)
    if (!isPlausible(Increment))
      return false;
  return true;
}

// Marks Sequence as counted and advances the first missing sequence.
void markCounted(wire::writer_state &Source, int64_t Sequence) {
  auto Ahead = static_cast<uint64_t>(Source.Ahead);
  if (Sequence > Source.Sequence + 1) {
    Ahead |= uint64_t{1} << (Sequence - Source.Sequence - 2);
  } else {
    ++Source.Sequence;
    while ((Ahead & 1) != 0) {
      ++Source.Sequence;
      Ahead >>= 1;
    }
    Ahead >>= 1;
  }
  Source.Ahead = static_cast<int64_t>(Ahead);
}

} // namespace

bool ledger::hasCounted(incarnation Source, int64_t Sequence) const {
  auto Found = UsageSources.find(Source.Value);
  if (Found == UsageSources.end())
    return false;
  const wire::writer_state &State = Found->second;
  if (Sequence <= State.Sequence)
    return true;
  int64_t Bit = Sequence - State.Sequence - 2;
  if (Bit < 0 || Bit >= max_batches_ahead)
    return false;
  return ((static_cast<uint64_t>(State.Ahead) >> Bit) & 1) != 0;
}

int64_t ledger::nextUsageSequence(incarnation Source) const {
  auto Found = UsageSources.find(Source.Value);
  return Found == UsageSources.end() ? 1 : Found->second.Sequence + 1;
}

ledger::rejection ledger::replayUsage(const wire::usage_append &Append,
                                      ledger_change &Change) {
  for (const wire::usage_batch &Batch : Append.Batches)
    if (countBatch(Batch, Change.Offset))
      Change.UsageChanged = true;
  if (!Change.UsageChanged)
    return "every batch was already counted or can't be counted";
  return std::nullopt;
}

bool ledger::countBatch(const wire::usage_batch &Batch, log_offset Offset) {
  incarnation Source{Batch.Incarnation};
  if (!isPlausible(Batch))
    return false;
  if (isEnabled(mechanism::UsageSequence) && hasCounted(Source, Batch.Sequence))
    return false;
  if (Batch.Sequence > nextUsageSequence(Source) + max_batches_ahead)
    return false;
  if (OpenUsage.size() + Batch.Increments.size() > max_open_usage)
    return false;
  for (const wire::usage_increment &Increment : Batch.Increments) {
    usage_totals &Figure =
        OpenUsage[{Increment.Organisation, Increment.ServiceClass}];
    Figure.Requests += Increment.Requests;
    Figure.PromptTokens += Increment.PromptTokens;
    Figure.OutputTokens += Increment.OutputTokens;
  }
  wire::writer_state &State = UsageSources[Batch.Incarnation];
  State.Incarnation = Batch.Incarnation;
  State.LastOffset = Offset.Value;
  if (!hasCounted(Source, Batch.Sequence))
    markCounted(State, Batch.Sequence);
  forgetLeastRecent(UsageSources, max_usage_sources);
  return true;
}

std::vector<wire::usage_increment> ledger::openUsage() const {
  std::vector<wire::usage_increment> Figures;
  Figures.reserve(OpenUsage.size());
  for (const auto &[Key, Figure] : OpenUsage) {
    wire::usage_increment Increment;
    Increment.Organisation = Key.Organisation;
    Increment.ServiceClass = Key.ServiceClass;
    Increment.Requests = Figure.Requests;
    Increment.PromptTokens = Figure.PromptTokens;
    Increment.OutputTokens = Figure.OutputTokens;
    Figures.push_back(std::move(Increment));
  }
  return Figures;
}

ledger::rejection ledger::replayClose(const wire::usage_close &Close,
                                      ledger_change &Change) {
  if (!isCurrentFence(usage_lease, Close.Fence))
    return "window is closed under lease claim " + std::to_string(Close.Fence) +
           ", which is not current";
  if (Close.Window != LastClosedWindow + 1)
    return "closes window " + std::to_string(Close.Window) + " after window " +
           std::to_string(LastClosedWindow);
  if (Windows.size() >= max_unreported_windows)
    return "too many closed windows have not been reported yet";
  wire::closed_window Window;
  Window.Window = Close.Window;
  Window.Figures = openUsage();
  Windows.push_back(std::move(Window));
  OpenUsage.clear();
  LastClosedWindow = Close.Window;
  Change.ClosedWindow = Close.Window;
  Change.UsageChanged = true;
  return std::nullopt;
}

ledger::rejection ledger::replayReported(const wire::usage_reported &Reported) {
  if (Windows.empty() || Windows.front().Window != Reported.Window)
    return "window " + std::to_string(Reported.Window) +
           " is not the first one without a report";
  Windows.erase(Windows.begin());
  return std::nullopt;
}

} // namespace monsoonreel
