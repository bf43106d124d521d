#include "bench/bench_site.h"

#include <malloc.h>

#include <chrono>

namespace monsoonreel {

double heapInUse() { return static_cast<double>(mallinfo2().uordblks); }

// A document with the given number of upstreams.
std::string makeDocument(int Upstreams) {
  std::string Text = "classes:\n";
  for (int I = 0; I < 4; ++I)
    Text += "  - {name: class" + std::to_string(I) +
            ", tier: " + std::to_string(I) + ", first_token: 350ms}\n";
  Text += "organisations:\n";
  for (int I = 0; I < organisations; ++I)
    Text += "  - {name: organisation" + std::to_string(I) + "}\n";
  Text += "upstreams:\n";
  for (int I = 0; I < Upstreams; ++I)
    Text += "  - {name: upstream" + std::to_string(I) + ", pool: model" +
            std::to_string(I % models) + ", zone: zone" +
            std::to_string(I / models % zones) + ", address: \"10.0." +
            std::to_string(I / 250) + "." + std::to_string(I % 250 + 1) +
            ":8000\", concurrency: 16}\n";
  return Text + "routes:\n  - {path: /v1, class: class0, idempotent: true}\n";
}

configuration makeConfiguration(int Upstreams) {
  configuration Configuration =
      parseConfiguration(makeDocument(Upstreams), "bench").value();
  Configuration.Limits.MaxQueueLength = 1 << 20;
  Configuration.Limits.MaxQueueWait = std::chrono::hours(24);
  return Configuration;
}

wire::slot_ask makeAsk(int64_t Id) {
  wire::slot_ask Ask;
  Ask.Ask = (int64_t{77} << 24) + Id;
  Ask.Incarnation = 1791820800000000 + 77;
  Ask.Pool = "model0@zone0#0";
  Ask.ServiceClass = "class" + std::to_string(Id % 4);
  Ask.Tier = static_cast<int>(Id % 4);
  Ask.Organisation = "organisation" + std::to_string(Id % organisations);
  Ask.TimeLeftMicros = toMicros(std::chrono::hours(10));
  Ask.GiveUpMicros = toMicros(std::chrono::hours(20));
  Ask.PromptTokens = 700;
  Ask.PrefixHash = 0x5DEECE66D1234567;
  Ask.Idempotent = true;
  return Ask;
}

double encodedBytes(const wire::peer_message &Message) {
  return static_cast<double>(encodeMessage(Message).size());
}

} // namespace monsoonreel
