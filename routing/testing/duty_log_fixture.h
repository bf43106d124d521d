// Two entries and the log that they elect a holder in.

#ifndef ROUTING_TESTING_DUTY_LOG_FIXTURE_H
#define ROUTING_TESTING_DUTY_LOG_FIXTURE_H

#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "routing/duty_log.h"
#include "routing/testing/test_time.h"
#include "routing/testing/usage_figures.h"

namespace monsoonreel {

using namespace std::chrono_literals;

// A log with conditional appends. Calls take effect when the test applies them,
// which may be late or without an answer.
class fake_duty_store {
public:
  duty_appended append(const append_duty &Call) {
    auto End = static_cast<int64_t>(Records.size());
    if (Call.At != End)
      return {Call.Call, append_outcome::Conflict, 0, End, Era};
    Records.push_back(encodeDutyRecord(Call.Record));
    return {Call.Call, append_outcome::Done, End, End + 1, Era};
  }
  // Plays the return from a backup that has only the first records.
  void restore(size_t Kept) {
    Records.resize(std::min(Kept, Records.size()));
    Start = std::min(Start, static_cast<int64_t>(Records.size()));
    ++Era;
  }
  // Deletes all records, or those before an offset. Offsets go on.
  void forget() { forgetBefore(static_cast<int64_t>(Records.size())); }
  void forgetBefore(int64_t Offset) { Start = std::max(Start, Offset); }
  size_t size() const { return Records.size(); }
  duty_log_read read(const read_duty_log &Call) const {
    duty_log_read Read;
    Read.Call = Call.Call;
    Read.Era = Era;
    Read.From = Call.From;
    Read.End = static_cast<int64_t>(Records.size());
    Read.Start = Start;
    Read.HistoryCut = Call.From < Start || Call.From > Read.End;
    Read.Ok = !Read.HistoryCut;
    for (int64_t Offset = Call.From; Offset < Read.End; ++Offset) {
      wire::stored_record Stored;
      Stored.Offset = Offset;
      Stored.Bytes = Records[static_cast<size_t>(Offset)];
      Read.Records.push_back(Stored);
    }
    return Read;
  }

private:
  int64_t Era = first_store_era;
  int64_t Start = 0; // oldest record that is kept
  std::vector<std::string> Records;
};

class duty_log_test : public testing::Test {
protected:
  static node_identity identity(const std::string &Name) {
    return {node_name(Name), zone_name("z"), address("10.0.0.1:70"),
            incarnation{1}};
  }

  // Ticks and answers every call at once.
  void run(duty_log &Log, duration Now) {
    for (int Calls = 0; Calls < 5; ++Calls) {
      routing_effects Effects;
      Log.onTick(at(Now), 0, Effects);
      if (Effects.empty())
        return;
      answer(Log, Effects, Now);
    }
  }
  void answer(duty_log &Log, const routing_effects &Effects, duration Now) {
    for (const routing_effect &Effect : Effects) {
      if (const auto *Append = std::get_if<append_duty>(&Effect))
        appended(Log, Store.append(*Append), Now);
      if (const auto *Read = std::get_if<read_duty_log>(&Effect))
        wasRead(Log, Store.read(*Read), Now);
    }
  }
  // As a node does: the era of an answer is handled before the answer.
  static void appended(duty_log &Log, const duty_appended &Done, duration Now) {
    routing_effects More;
    Log.onEra(Done.Era, at(Now), More);
    Log.onAppended(Done, at(Now), More);
  }
  static void wasRead(duty_log &Log, const duty_log_read &Read, duration Now) {
    routing_effects More;
    Log.onEra(Read.Era, at(Now), More);
    Log.onRead(Read, at(Now), More);
  }
  // Passes on the store's era, as a peer's report does.
  static void tellEra(duty_log &Log, int64_t Era, duration Now) {
    routing_effects More;
    Log.onEra(Era, at(Now), More);
  }

  fake_duty_store Store;
  duty_terms Terms;
  duty_log A{Terms, identity("a")};
  duty_log B{Terms, identity("b")};
};

} // namespace monsoonreel

#endif // ROUTING_TESTING_DUTY_LOG_FIXTURE_H
