// The cost of membership for one node, by the number of members.
//
//   membership_bench
//
// Each benchmark runs a network of memberships in virtual time over 7 zones.
// Counters are for one node: bytes sent and received in a second, as encoded,
// processor time for a second of virtual time, and the bytes of the heap.

#include <malloc.h>

#include <benchmark/benchmark.h>

#include "monsoonreel/testing/member_network.h"

namespace monsoonreel {
namespace {

constexpr int zone_count = 7;
constexpr duration settle_time = std::chrono::seconds(60);
constexpr duration round_time = 3 * far_heartbeat_period;

std::string nameOf(int Index) { return "entry-" + std::to_string(Index); }

void startNodes(member_network &Network, int Count) {
  for (int Index = 0; Index < Count; ++Index)
    Network.add(nameOf(Index), "zone-" + std::to_string(Index % zone_count));
  Network.introduceAll();
  Network.run(settle_time);
  // As many owners of pools as a site of this size has.
  for (int Index = 0; Index < Count; Index += 10) {
    wire::pool_load Load;
    Load.Pool = "model-" + std::to_string(Index % 4);
    Load.QueueWaitMicros = 125000;
    Load.FreeSlots = 12;
    Network.node(nameOf(Index)).setOwnLoads({Load}, Network.now());
  }
}

size_t bytesOfAll(member_network &Network, int Count) {
  size_t Bytes = 0;
  for (int Index = 0; Index < Count; ++Index)
    Bytes += Network.bytesSentBy(nameOf(Index)) +
             Network.bytesReceivedBy(nameOf(Index));
  return Bytes;
}

void reportFigures(benchmark::State &State, int Count, duration Time,
                   size_t Bytes, double HeapBytes) {
  double NodeSeconds = static_cast<double>(State.iterations()) *
                       std::chrono::duration<double>(Time).count() * Count;
  State.counters["bytes_per_s"] =
      benchmark::Counter(static_cast<double>(Bytes) / NodeSeconds);
  State.counters["cpu_us_per_s"] =
      benchmark::Counter(NodeSeconds / 1e6, benchmark::Counter::kIsRate |
                                                benchmark::Counter::kInvert);
  State.counters["heap_kb"] = benchmark::Counter(HeapBytes / 1024.0 / Count);
}

// All members live.
void steadyMembership(benchmark::State &State) {
  int Count = static_cast<int>(State.range(0));
  size_t HeapBefore = mallinfo2().uordblks;
  member_network Network;
  startNodes(Network, Count);
  auto Heap = static_cast<double>(mallinfo2().uordblks - HeapBefore);
  size_t Before = bytesOfAll(Network, Count);
  while (State.KeepRunning())
    Network.run(round_time);
  reportFigures(State, Count, round_time, bytesOfAll(Network, Count) - Before,
                Heap);
}
BENCHMARK(steadyMembership)
    ->Arg(8)
    ->Arg(40)
    ->Arg(330)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// A zone is lost: every member of it dies at once. The figures are of
// so many seconds from then on.
void zoneLost(benchmark::State &State) {
  int Count = static_cast<int>(State.range(0));
  duration Time = std::chrono::seconds(State.range(1));
  member_network Network;
  startNodes(Network, Count);
  for (int Index = 0; Index < Count; Index += zone_count)
    Network.stop(nameOf(Index));
  size_t Before = bytesOfAll(Network, Count);
  while (State.KeepRunning())
    Network.run(Time);
  reportFigures(State, Count, Time, bytesOfAll(Network, Count) - Before, 0);
}
BENCHMARK(zoneLost)
    ->Args({8, 12})
    ->Args({40, 12})
    ->Args({330, 12})
    ->Args({330, 60})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Seconds until every live node holds all stopped ones dead: of so many nodes,
// every so manieth is stopped.
void deathKnownEverywhere(benchmark::State &State) {
  int Count = static_cast<int>(State.range(0));
  int Stride = static_cast<int>(State.range(1));
  member_network Network;
  startNodes(Network, Count);
  for (int Index = 0; Index < Count; Index += Stride)
    Network.stop(nameOf(Index));
  auto IsKnown = [&] {
    for (int Viewer = 0; Viewer < Count; ++Viewer)
      for (int Index = 0; Viewer % Stride != 0 && Index < Count;
           Index += Stride)
        if (Network.stateOf(nameOf(Viewer), nameOf(Index)) !=
            wire::member_state::Dead)
          return false;
    return true;
  };
  steady_time Begin = Network.now();
  while (State.KeepRunning())
    while (!IsKnown() && Network.now() - Begin < std::chrono::minutes(5))
      Network.run(std::chrono::milliseconds(500));
  State.counters["virtual_s"] =
      std::chrono::duration<double>(Network.now() - Begin).count();
}
BENCHMARK(deathKnownEverywhere)
    ->Args({8, zone_count})
    ->Args({40, 40})
    ->Args({40, zone_count})
    ->Args({330, 330})
    ->Args({330, zone_count})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

// Seconds until all hold all others alive again, after a zone was cut off for
// five minutes, and the bytes of a node in the first minute.
void returnKnownEverywhere(benchmark::State &State) {
  int Count = static_cast<int>(State.range(0));
  member_network Network;
  startNodes(Network, Count);
  for (int Lost = 0; Lost < Count; Lost += zone_count)
    for (int Other = 0; Other < Count; ++Other)
      if (Other % zone_count != 0)
        Network.cut(nameOf(Lost), nameOf(Other));
  Network.run(std::chrono::minutes(5));
  Network.healAll();
  auto IsKnown = [&] {
    for (int Viewer = 0; Viewer < Count; ++Viewer)
      for (int Seen = 0; Seen < Count; ++Seen)
        if (Seen != Viewer && Network.stateOf(nameOf(Viewer), nameOf(Seen)) !=
                                  wire::member_state::Alive)
          return false;
    return true;
  };
  steady_time Begin = Network.now();
  size_t Before = bytesOfAll(Network, Count);
  while (State.KeepRunning())
    while (!IsKnown() && Network.now() - Begin < std::chrono::minutes(5))
      Network.run(std::chrono::milliseconds(500));
  duration Known = Network.now() - Begin;
  if (Known < std::chrono::minutes(1))
    Network.run(std::chrono::minutes(1) - Known);
  double NodeSeconds =
      std::chrono::duration<double>(Network.now() - Begin).count() * Count;
  State.counters["virtual_s"] = std::chrono::duration<double>(Known).count();
  State.counters["bytes_per_s"] =
      static_cast<double>(bytesOfAll(Network, Count) - Before) / NodeSeconds;
}
BENCHMARK(returnKnownEverywhere)
    ->Arg(8)
    ->Arg(40)
    ->Arg(330)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace
} // namespace monsoonreel

BENCHMARK_MAIN();
