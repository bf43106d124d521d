#include "standins/fault_switch.h"

#include <map>

#include <QByteArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace monsoonreel::standin {

namespace {

const std::map<std::string, fault_kind> &kindNames() {
  static const std::map<std::string, fault_kind> Names = {
      {"none", fault_kind::None},
      {"silent", fault_kind::Silent},
      {"slow", fault_kind::Slow},
      {"crash", fault_kind::Crash},
      {"lose-answer", fault_kind::LoseAnswer},
      {"out", fault_kind::Out},
      {"partition", fault_kind::Partition},
      {"reclaim", fault_kind::Reclaim},
  };
  return Names;
}

constexpr int default_notice_ms = 4000;

} // namespace

std::optional<fault> parseFault(std::string_view Json) {
  QByteArray Bytes(Json.data(), static_cast<qsizetype>(Json.size()));
  QJsonObject Object = QJsonDocument::fromJson(Bytes).object();
  auto Kind = kindNames().find(Object["kind"].toString().toStdString());
  if (Kind == kindNames().end())
    return std::nullopt;
  fault Fault;
  Fault.Kind = Kind->second;
  Fault.Factor = Object["factor"].toDouble(1.0);
  Fault.Count = Object["count"].toInt(1);
  Fault.Notice =
      std::chrono::milliseconds(Object["notice_ms"].toInt(default_notice_ms));
  Fault.ExistingOnly = Object["existing_only"].toBool();
  Fault.Exit = Object["exit"].toBool();
  Fault.PathPrefix = Object["path"].toString().toStdString();
  Fault.Zone = Object["zone"].toString().toStdString();
  return Fault;
}

void fault_switch::apply(const fault &Fault) {
  switch (Fault.Kind) {
  case fault_kind::None:
    *this = fault_switch();
    break;
  case fault_kind::Silent:
    Silent = !Fault.ExistingOnly;
    break;
  case fault_kind::Slow:
    SlowFactor = Fault.Factor;
    break;
  case fault_kind::Crash:
    Crashed = true;
    break;
  case fault_kind::LoseAnswer:
    AnswersToLose = Fault.Count;
    LosePrefix = Fault.PathPrefix;
    break;
  case fault_kind::Out:
    Out = true;
    break;
  case fault_kind::Partition:
    PartitionedZones.insert(Fault.Zone);
    break;
  case fault_kind::Reclaim:
    Leaving = true;
    break;
  }
}

bool fault_switch::losesAnswer(std::string_view Path) {
  if (AnswersToLose == 0 || !Path.starts_with(LosePrefix))
    return false;
  --AnswersToLose;
  return true;
}

} // namespace monsoonreel::standin
