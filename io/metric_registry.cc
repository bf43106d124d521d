#include "io/metric_registry.h"

#include <prometheus/text_serializer.h>

namespace monsoonreel {

namespace {

using labels = std::vector<std::pair<std::string, std::string>>;

std::map<std::string, std::string> toMap(const labels &Labels) {
  return {Labels.begin(), Labels.end()};
}

prometheus::Histogram::BucketBoundaries bucketsOf(const std::string &Name) {
  if (Name.ends_with("_seconds"))
    return {0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.061, 0.08, 0.1,
            0.15,  0.2,   0.25,  0.3,  0.35, 0.4,   0.5,  0.75,  1,    1.5,
            2,     3,     5,     7.5,  10,   15,    30,   60,    120,  300};
  return {1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 100000};
}

} // namespace

metric_registry::metric_registry()
    : Registry(std::make_shared<prometheus::Registry>()),
      Dropped(prometheus::BuildCounter()
                  .Name("monsoonreel_metric_updates_dropped_total")
                  .Help("Updates of metrics beyond the bound on label sets")
                  .Register(*Registry)
                  .Add({})) {}

bool metric_registry::admit(const std::string &Name, const label_map &Labels) {
  auto Key = std::make_pair(Name, Labels);
  if (Series.contains(Key))
    return true;
  if (Series.size() >= max_metric_series) {
    Dropped.Increment();
    return false;
  }
  Series.insert(std::move(Key));
  return true;
}

void metric_registry::count(const count_metric &Metric) {
  label_map Labels = toMap(Metric.Labels);
  if (!admit(Metric.Name, Labels))
    return;
  auto &Family = Counters[Metric.Name];
  if (!Family)
    Family = &prometheus::BuildCounter().Name(Metric.Name).Register(*Registry);
  Family->Add(Labels).Increment(Metric.Add);
}

void metric_registry::observe(const observe_metric &Metric) {
  label_map Labels = toMap(Metric.Labels);
  if (!admit(Metric.Name, Labels))
    return;
  auto &Family = Histograms[Metric.Name];
  if (!Family)
    Family =
        &prometheus::BuildHistogram().Name(Metric.Name).Register(*Registry);
  Family->Add(Labels, bucketsOf(Metric.Name)).Observe(Metric.Value);
}

void metric_registry::set(const set_gauge &Metric) {
  label_map Labels = toMap(Metric.Labels);
  if (!admit(Metric.Name, Labels))
    return;
  auto &Family = Gauges[Metric.Name];
  if (!Family)
    Family = &prometheus::BuildGauge().Name(Metric.Name).Register(*Registry);
  Family->Add(Labels).Set(Metric.Value);
}

std::string metric_registry::text() const {
  return prometheus::TextSerializer().Serialize(Registry->Collect());
}

} // namespace monsoonreel
