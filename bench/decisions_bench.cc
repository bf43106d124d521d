// Time, message bytes and memory of the decisions, over sizes. Those about
// requests are in requests_bench.cc, the owners of cells in
// cell_owners_bench.cc; the program runs all.
//
//   decisions_bench --benchmark_format=json > decisions.json
//   scripts/capacity-table decisions.json

#include <algorithm>
#include <string>
#include <utility>

#include <benchmark/benchmark.h>

#include "bench/bench_site.h"
#include "monsoonreel/document_difference.h"
#include "monsoonreel/ledger.h"
#include "monsoonreel/membership.h"
#include "monsoonreel/pool_map.h"
#include "monsoonreel/testing/member_network.h"

namespace monsoonreel {
namespace {

// The heartbeats of so many nodes in 7 zones during a round: the seconds in
// which each node sends one heartbeat to another zone.
void heartbeatRound(benchmark::State &State) {
  int Nodes = static_cast<int>(State.range(0));
  member_network Network;
  double Before = heapInUse();
  auto NameOf = [](int I) { return "entry" + std::to_string(I); };
  for (int I = 0; I < Nodes; ++I)
    Network.add(NameOf(I), "zone" + std::to_string(I % zones));
  // Until nodes have acknowledged each other and loads are known.
  Network.introduceAll();
  Network.run(std::chrono::seconds(60));
  double Held = heapInUse() - Before;
  auto Bytes = [&] {
    double Sum = 0;
    for (int I = 0; I < Nodes; ++I)
      Sum += static_cast<double>(Network.bytesSentBy(NameOf(I)) +
                                 Network.bytesReceivedBy(NameOf(I)));
    return Sum;
  };
  double BytesBefore = Bytes();
  constexpr int RoundSeconds = far_heartbeat_period / std::chrono::seconds(1);
  int Seconds = 0;
  auto RunSecond = [&] {
    wire::pool_load Load;
    Load.Pool = "model0@zone0#0";
    Load.QueueWaitMicros = 120000 + Seconds;
    for (int I = 0; I < Nodes; ++I) {
      Load.Owner = NameOf(I);
      Network.node(NameOf(I)).setOwnLoads({Load}, Network.now());
    }
    Network.run(std::chrono::seconds(1));
    ++Seconds;
  };
  while (State.KeepRunning())
    for (int Second = 0; Second < RoundSeconds; ++Second)
      RunSecond();
  State.counters["bytes_per_node"] = (Bytes() - BytesBefore) / Nodes / Seconds;
  // The time is that of all nodes and of the network between them.
  State.counters["nodes"] = Nodes;
  State.counters["seconds"] = RoundSeconds;
  State.counters["heap_bytes_per_node"] = Held / Nodes;
}
BENCHMARK(heartbeatRound)
    ->Arg(8)
    ->Arg(40)
    ->Arg(330)
    ->Unit(benchmark::kMillisecond)
    ->MinTime(0.2);

// Another concurrency of the Number-th upstream of a document.
std::string withOneChange(std::string Document, size_t Number) {
  std::string Name = "{name: upstream" + std::to_string(Number) + ",";
  size_t Place = Document.find("concurrency: ", Document.find(Name));
  char &Digit = Document.at(Place + std::string("concurrency: ").size());
  Digit = Digit == '1' ? '2' : '1';
  return Document;
}

// Replay of one change of the document, of one upstream's line, and the cut
// into cells.
void replayConfiguration(benchmark::State &State) {
  auto Upstreams = static_cast<size_t>(State.range(0));
  std::string Document = makeDocument(static_cast<int>(State.range(0)));
  double Before = heapInUse();
  ledger Ledger(operator_stream);
  effect_list Effects;
  int64_t Offset = 0;
  size_t Bytes = 0;
  while (State.KeepRunning()) {
    // The edit is made by an operator's shell.
    State.PauseTiming();
    ++Offset;
    Document = withOneChange(Document, static_cast<size_t>(Offset) % Upstreams);
    wire::log_record Record;
    Record.Incarnation = 1791820800000000;
    Record.Sequence = Offset;
    Record.__set_ConfigEdit(makeEdit(Ledger.configOffset(), Ledger.document(),
                                     Document, "operator"));
    std::string Encoded = encodeRecord(Record);
    Bytes = std::max(Bytes, Offset == 1 ? 0 : Encoded.size());
    State.ResumeTiming();
    Ledger.apply(log_offset{Offset}, Encoded, Effects);
    benchmark::DoNotOptimize(pool_map::fromConfiguration(Ledger.config()));
  }
  if (Ledger.configOffset().Value != Offset)
    State.SkipWithError("an edit was not accepted");
  State.counters["record_bytes"] = static_cast<double>(Bytes);
  State.counters["document_bytes"] = static_cast<double>(Document.size());
  State.counters["heap_bytes"] = heapInUse() - Before;
}
BENCHMARK(replayConfiguration)
    ->Arg(30)
    ->Arg(600)
    ->Unit(benchmark::kMillisecond);

// A usage stream with one source, one holder of the lease, and its windows.
class bench_usage {
public:
  bench_usage() {
    wire::lease_claim Claim;
    Claim.Lease = std::string(usage_lease);
    Claim.Holder = "steward0";
    Claim.Incarnation = 7;
    Claim.DurationMicros = 10'000'000;
    wire::log_record Record;
    Record.__set_LeaseClaim(Claim);
    apply(std::move(Record));
  }

  // A batch of so many organisations, the close of its window and its report.
  // False when the close was not accepted.
  bool runWindow(int64_t Organisations) {
    ++Window;
    apply(batchRecord(Organisations));
    wire::usage_close Close;
    Close.Window = Window;
    Close.Fence = 1;
    wire::log_record Record;
    Record.__set_UsageClose(Close);
    bool Accepted = apply(std::move(Record));
    wire::usage_reported Reported;
    Reported.Window = Window;
    wire::log_record ReportedRecord;
    ReportedRecord.__set_UsageReported(Reported);
    apply(std::move(ReportedRecord));
    return Accepted;
  }
  // Of the largest record.
  size_t recordBytes() const { return LargestRecord; }

private:
  wire::log_record batchRecord(int64_t Organisations) const {
    wire::usage_batch Batch;
    Batch.Incarnation = 9;
    Batch.Sequence = Window;
    for (int64_t I = 0; I < Organisations; ++I) {
      wire::usage_increment Increment;
      Increment.Organisation = "organisation" + std::to_string(I);
      Increment.ServiceClass = "class0";
      Increment.Requests = 3;
      Increment.OutputTokens = 700;
      Batch.Increments.push_back(Increment);
    }
    wire::usage_append Append;
    Append.Batches.push_back(Batch);
    wire::log_record Record;
    Record.__set_UsageAppend(Append);
    return Record;
  }
  bool apply(wire::log_record Record) {
    Record.Incarnation = 7;
    Record.Sequence = ++Offset;
    std::string Encoded = encodeRecord(Record);
    LargestRecord = std::max(LargestRecord, Encoded.size());
    return Ledger.apply(log_offset{Offset}, Encoded, Effects).isValid();
  }

  ledger Ledger{usage_stream};
  effect_list Effects;
  int64_t Offset = 0;
  int64_t Window = 0;
  size_t LargestRecord = 0;
};

// Replay of the batches of so many organisations and of the window's close.
void closeUsage(benchmark::State &State) {
  bench_usage Usage;
  while (State.KeepRunning())
    if (!Usage.runWindow(State.range(0)))
      State.SkipWithError("the close was not accepted");
  State.counters["batch_bytes"] = static_cast<double>(Usage.recordBytes());
}
BENCHMARK(closeUsage)->Arg(10)->Arg(290)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace monsoonreel

BENCHMARK_MAIN();
