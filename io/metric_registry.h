// The process's metrics, in Prometheus's text form.
//
//   metric_registry Metrics;
//   Metrics.count({"monsoonreel_requests_total", {{"class", "chat"}}});
//   std::string Text = Metrics.text();
//
// A metric is made when it is first used. The number of label sets in all is
// bounded; what would exceed it is counted in
// monsoonreel_metric_updates_dropped_total.

#ifndef IO_METRIC_REGISTRY_H
#define IO_METRIC_REGISTRY_H

#include <map>
#include <memory>
#include <set>
#include <string>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

constexpr size_t max_metric_series = 20000;

class metric_registry {
public:
  metric_registry();

  void count(const count_metric &Metric);
  // Metrics whose name ends with "_seconds" get buckets for times.
  void observe(const observe_metric &Metric);
  void set(const set_gauge &Metric);
  std::string text() const;

private:
  using label_map = std::map<std::string, std::string>;

  // Whether the series exists already or may still be made.
  bool admit(const std::string &Name, const label_map &Labels);

  std::shared_ptr<prometheus::Registry> Registry;
  prometheus::Counter &Dropped;
  std::map<std::string, prometheus::Family<prometheus::Counter> *> Counters;
  std::map<std::string, prometheus::Family<prometheus::Gauge> *> Gauges;
  std::map<std::string, prometheus::Family<prometheus::Histogram> *> Histograms;
  std::set<std::pair<std::string, label_map>> Series;
};

} // namespace monsoonreel

#endif // IO_METRIC_REGISTRY_H
