// A steward's state for operators.

#include <yaml-cpp/yaml.h>

#include "monsoonreel/steward_node.h"

namespace monsoonreel {

namespace {

// In the flow style with quoted strings, YAML is JSON.
void beginJson(YAML::Emitter &Out) {
  Out.SetMapFormat(YAML::Flow);
  Out.SetSeqFormat(YAML::Flow);
  Out.SetStringFormat(YAML::DoubleQuoted);
}

template <typename T>
void put(YAML::Emitter &Out, const char *Name, const T &Value) {
  Out << YAML::Key << Name << YAML::Value << Value;
}

void putStream(YAML::Emitter &Out, const stream_replica &Replica) {
  Out << YAML::Key << Replica.state().stream() << YAML::Value << YAML::BeginMap;
  put(Out, "applied", Replica.applied().Value);
  put(Out, "following", Replica.follower().isFollowing());
  put(Out, "caught_up", Replica.follower().isCaughtUp());
  put(Out, "last_snapshot", Replica.state().lastSnapshot().Value);
  Out << YAML::EndMap;
}

void putLease(YAML::Emitter &Out, const stream_replica &Replica,
              const std::string &Name) {
  const wire::lease_state *Lease = Replica.state().findLease(Name);
  if (!Lease)
    return;
  Out << YAML::Key << Name << YAML::Value << YAML::BeginMap;
  put(Out, "holder", Lease->Holder);
  put(Out, "fence", Lease->Fence);
  put(Out, "released", Lease->Released);
  Out << YAML::EndMap;
}

} // namespace

std::string steward_node::statusJson() const {
  YAML::Emitter Out;
  beginJson(Out);
  Out << YAML::BeginMap;
  put(Out, "name", Self.Name.Value);
  put(Out, "zone", Self.Zone.Value);
  put(Out, "role", "steward");
  put(Out, "incarnation", Self.Incarnation.Value);
  put(Out, "draining", DrainDeadline.has_value());
  put(Out, "live_members", Members.liveCount());
  put(Out, "config_version", Operator.state().configOffset().Value);
  put(Out, "live_keys", Operator.state().liveKeyCount());
  put(Out, "last_closed_window", Usage.state().lastClosedWindow());
  put(Out, "unreported_windows", Usage.state().unreportedWindows().size());
  put(Out, "open_orders", Operator.state().openOrders().size());
  Out << YAML::Key << "streams" << YAML::Value << YAML::BeginMap;
  putStream(Out, Operator);
  putStream(Out, Usage);
  Out << YAML::EndMap;
  Out << YAML::Key << "leases" << YAML::Value << YAML::BeginMap;
  putLease(Out, Usage, UsageLease.terms().Name);
  putLease(Out, Operator, OrderLease.terms().Name);
  Out << YAML::EndMap << YAML::EndMap;
  return Out.c_str();
}

} // namespace monsoonreel
