// The site at the size to design for, for the benchmarks of the decisions.
//
//   configuration Configuration = makeConfiguration(600);
//   Owner.onAsk(Asker, makeAsk(++Id), Now, Replies, Effects);

#ifndef BENCH_BENCH_SITE_H
#define BENCH_BENCH_SITE_H

#include <cstdint>
#include <string>

#include "monsoonreel/configuration.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

constexpr int organisations = 290;
constexpr int zones = 7;
constexpr int models = 4;

// Bytes that the process has allocated.
double heapInUse();

// A document with the given number of upstreams, of all models and zones
// in turn.
std::string makeDocument(int Upstreams);

// The same, parsed, with queues that hold any number of requests for a day.
configuration makeConfiguration(int Upstreams);

// The Id-th ask of one asker, of all classes and organisations in turn.
wire::slot_ask makeAsk(int64_t Id);

double encodedBytes(const wire::peer_message &Message);

} // namespace monsoonreel

#endif // BENCH_BENCH_SITE_H
