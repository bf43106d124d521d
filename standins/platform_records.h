// What the platform accepts besides the log: usage windows, orders and the
// list of VMs.
//
//   usage_reports Reports(/*ChecksFence=*/true);
//   acceptance Answer = Reports.take({.Window = 3, .Fence = 17, .Figures = F});
//
// Each class keeps a record of what came, so that a test can see a window that
// was reported with different figures, or an order that took effect twice.

#ifndef STANDINS_PLATFORM_RECORDS_H
#define STANDINS_PLATFORM_RECORDS_H

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel::standin {

enum class acceptance { Taken, Repeated, OldFence };

struct usage_report {
  int64_t Window = 0;
  int64_t Fence = 0;
  std::string Figures; // JSON, compared as text
};

class usage_reports {
public:
  explicit usage_reports(bool ChecksFence) : ChecksFence(ChecksFence) {}

  acceptance take(const usage_report &Report);

  // The first report of each window.
  const std::map<int64_t, usage_report> &windows() const { return Windows; }
  // Windows that came again with the same figures, and with others.
  int64_t repeats() const { return Repeats; }
  int64_t conflicts() const { return Conflicts; }
  int64_t oldFences() const { return OldFences; }

private:
  bool ChecksFence;
  int64_t HighestFence = 0;
  std::map<int64_t, usage_report> Windows;
  int64_t Repeats = 0;
  int64_t Conflicts = 0;
  int64_t OldFences = 0;
};

struct upstream_order {
  std::string OrderId;
  std::string Zone;
  int64_t Fence = 0;
  std::string Kind;
  std::string Target;
  int Count = 0;
};

class order_book {
public:
  explicit order_book(bool ChecksFence) : ChecksFence(ChecksFence) {}

  acceptance take(const upstream_order &Order);

  // Orders that took effect, each id once.
  const std::vector<upstream_order> &effective() const { return Effective; }
  int64_t repeats() const { return Repeats; }
  // Orders whose fencing number is below one that came before for the zone.
  int64_t oldFences() const { return OldFences; }

private:
  bool ChecksFence;
  std::map<std::string, int64_t> HighestFence; // by zone
  std::set<std::string> Ids;                   // of the effective orders
  std::vector<upstream_order> Effective;
  int64_t Repeats = 0;
  int64_t OldFences = 0;
};

struct listed_vm {
  std::string Name;
  std::string Zone;
  std::string Address;
  bool Leaving = false;
};

// Shows each change only after a lag.
class vm_list {
public:
  explicit vm_list(duration Lag) : Lag(Lag) {}

  void set(std::vector<listed_vm> Vms, steady_time Now);
  // Marks all VMs of a zone, or one by its name, as leaving.
  void markLeaving(const std::string &ZoneOrName, steady_time Now);
  const std::vector<listed_vm> &shown(steady_time Now);

private:
  struct version {
    steady_time Since;
    std::vector<listed_vm> Vms;
  };

  duration Lag;
  std::deque<version> Versions;
  std::vector<listed_vm> Empty;
};

} // namespace monsoonreel::standin

#endif // STANDINS_PLATFORM_RECORDS_H
