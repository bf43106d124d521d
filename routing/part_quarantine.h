// Finds parts of prompts that crash upstreams, and holds back requests with
// them.
//
//   part_quarantine Quarantine(Self);
//   if (auto Held = Quarantine.heldBack(Prompt, TrueTime)) ... // refuse
//   Quarantine.onSent(Prompt, TrueTime);
//   Quarantine.onBroken(Run, Prompt, Now);      // hardly any answer came
//   Quarantine.onSound(Prompt, BeganAt, Now);   // the answer goes on
//   Quarantine.onTick(Now, TrueTime);
//
// Load pattern: one part of a prompt crashes every upstream that begins to
// answer it. Requests with it arrive at all entries, and a crash also breaks
// the requests of sound callers, which share other parts with them. The part is
// the one that was open at crash after crash while no upstream has answered any
// request with it.
//
// Entries report to each other which runs of upstreams ended and which parts
// were open there, and which of these parts were answered. A part is suspected
// of the crashes since its last answer. It is held back from the third moment
// with a crash on, if it was open at a fair share of all crashes in that time,
// else from the fifth on. The part with the most crashes goes first and
// explains its crashes. Sound parts that were open only at explained crashes
// are not suspected of them.
//
// Requests with the part may also come in groups and crash several upstreams at
// one moment. A failing rack does so, too, but the parts that its requests
// share were answered shortly before or are answered elsewhere. A part that
// nobody has answered is therefore held back from the fifth crash on, however
// few the moments are, or from the third on if it was open at most of the
// crashes. With fewer than three moments that are not explained the evidence is
// weaker, and the first hold is short.
//
// Otherwise a part is first held back for `first_part_hold`, counted in the
// true time on which all entries agree. After that, one entry at a time, chosen
// by rendezvous hashing, sends a single request with it. An answer ends the
// hold everywhere; another crash renews it for twice the time.

#ifndef ROUTING_PART_QUARANTINE_H
#define ROUTING_PART_QUARANTINE_H

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include "monsoonreel/monsoonreel.h"
#include "routing/routing_event.h"
#include "routing/upstream_registry.h"

namespace monsoonreel {

// An answer that has delivered this many events shows that its parts are sound.
// Fewer may have left an upstream that was already crashing.
constexpr int64_t sound_answer_events = 2;
// Crashes within this time are one moment: a rack or a link that fails takes
// several upstreams at once.
constexpr duration crash_moment = std::chrono::milliseconds(200);
// Moments with a crash from which on a part is held back, if it was open at
// `suspect_crash_share` of all crashes since the first of them.
constexpr int suspect_moments = 3;
constexpr double suspect_crash_share = 0.2;
// The same for any share.
constexpr int certain_moments = 5;
// Crashes from which on a part that nobody has answered is held back. Those of
// the last `min_crash_downtime` do not count, as they may turn out to be none.
constexpr int unanswered_part_crashes = 5;
// The same if it was open at most of the crashes in that time.
constexpr int unanswered_part_own_crashes = 3;
constexpr double own_crash_share = 0.5;
// An answer this long before the first crash is forgotten.
constexpr duration answer_memory = std::chrono::seconds(30);
// A crash is forgotten after this time.
constexpr duration crash_memory = std::chrono::minutes(2);
// A crashed upstream is away for longer. An earlier answer to a new request
// shows that only connections were lost.
constexpr duration min_crash_downtime = std::chrono::milliseconds(1500);
// How long crashes and answers are reported: several report intervals.
constexpr duration part_report_time = std::chrono::seconds(3);
constexpr duration first_part_hold = std::chrono::minutes(1);
// First hold if there were fewer than `suspect_moments`.
constexpr duration weak_part_hold = std::chrono::seconds(10);
constexpr duration max_part_hold = std::chrono::minutes(10);
// After a hold, the entry that may try the part changes at this interval.
constexpr duration part_trial_period = std::chrono::seconds(20);

// Bounds of the state and of each report.
constexpr size_t max_crashes = 256;
constexpr size_t max_crash_parts = 192;
constexpr size_t max_watched_parts = max_crashes * max_crash_parts;
constexpr size_t max_held_parts = 64;
constexpr size_t max_sound_parts = 4096;
constexpr size_t max_reported_crashes = 24;
constexpr size_t max_reported_sound_parts = 32;

class part_quarantine {
public:
  explicit part_quarantine(std::string Self) : Self(std::move(Self)) {}

  void setEntries(std::vector<std::string> Names) { Others = std::move(Names); }
  // With false, this entry tries no held part.
  void setTrying(bool Value) { IsTrying = Value; }
  // Time within which the reports of all entries about a crash arrive.
  void setReportDelay(duration Value) { ReportDelay = Value; }
  // TrueTime is the time that all entries agree on.
  void onTick(steady_time Now, wall_time TrueTime);

  // Handles a request that broke before its answer went on.
  void onBroken(const upstream_instance &Run, const prompt_info &Prompt,
                steady_time Now);
  // Handles the head of an answer to a request that was sent at SentAt.
  void onAnswer(const upstream_instance &Run, steady_time SentAt,
                steady_time Now);
  // Handles an answer that began at BeganAt and goes on.
  void onSound(const prompt_info &Prompt, steady_time BeganAt, steady_time Now);

  struct held_back {
    uint64_t Part = 0;
    int Round = 0;
    duration Left{}; // until the part may be tried again
  };
  // Returns the part for which the request has to be held back, if any.
  std::optional<held_back> heldBack(const prompt_info &Prompt,
                                    wall_time TrueTime) const;
  // Handles a request that heldBack has let pass.
  void onSent(const prompt_info &Prompt, wall_time TrueTime);

  // With OwnOnly, only crashes and answers that this entry has seen.
  wire::part_report report(bool OwnOnly, steady_time Now) const;
  void onReport(const wire::part_report &Report, steady_time Now);

  size_t held() const { return Held.size(); }
  size_t watched() const { return Watched.size(); }
  size_t answered() const { return Answered.size(); }
  // A change for the log.
  struct change {
    const char *What = ""; // "held", "tried", "freed" and so on
    uint64_t Part = 0;
    int Round = 0;
    int Crashes = 0;      // evidence of this entry's view, with "held"
    int OtherCrashes = 0; // in the same time, not explained
    duration Hold{};
    duration FirstAge{}; // since the first of Crashes, with "held"
    duration LastAge{};  // since the last one
  };
  // Returns the changes since the last call.
  std::vector<change> takeChanges() { return std::exchange(Changes, {}); }

private:
  using run_key = std::pair<std::string, int64_t>; // name, start
  struct crash {
    steady_time At;
    std::map<uint64_t, int> Parts; // id, place in its prompt
    absl::flat_hash_set<uint64_t> OwnParts;
    bool Refuted = false;
    bool RefutedByOwn = false;
    bool Explained = false; // by a part that was held back
  };
  struct hold {
    wall_time Since;
    wall_time Until;
    int Round = 1;
    int64_t TriedIn = -1; // period of this entry's last try
  };
  struct answer {
    steady_time BeganAt;
    steady_time HeardAt;
    bool Own = false;
  };
  // What speaks against a part.
  struct evidence {
    int Crashes = 0; // explained or not
    int Moments = 0;
    int Unexplained = 0; // of Crashes
    int UnexplainedMoments = 0;
    int SettledCrashes = 0; // of Crashes, those old enough to be certain
    int Others = 0;         // other crashes from the first moment on
    int UnexplainedOthers = 0;
    bool WasAnswered = false; // shortly before First
    int Place = 0;
    steady_time First;
    steady_time Last; // start of the last moment
    steady_time LastUnexplained;
  };

  static int64_t periodAt(wall_time TrueTime);
  bool isChosen(uint64_t Part, wall_time TrueTime) const;
  bool mayTry(uint64_t Part, const hold &Hold, wall_time TrueTime) const;
  crash *crashOf(const run_key &Run, steady_time At);
  void addPart(crash &Crash, uint64_t Part, int Place, steady_time Now);
  static bool isSuspect(const evidence &Evidence);
  // Adds a crash at which the part was open; in the order of their times.
  static void addTo(evidence &Evidence, const crash &Crash);
  // Age from which on it is known whether a crash was one, and which of its
  // parts other entries have answered.
  duration settleTime() const;
  void rememberAnswer(uint64_t Part, steady_time BeganAt);
  void recordSound(uint64_t Part, steady_time BeganAt, bool Own,
                   steady_time Now);
  void free(uint64_t Part);
  void holdAgain(uint64_t Part, hold &Hold);
  void holdBack(uint64_t Part, const evidence &Evidence, steady_time Now);
  // Marks the crashes at which a held part was open.
  void explainBy(uint64_t Part);
  wall_time trueTimeOf(steady_time At) const {
    return TrueTime + (At - TickAt);
  }
  void onHeld(const wire::held_part &Report);
  absl::flat_hash_map<uint64_t, evidence> collect(steady_time Now) const;
  void judge(steady_time Now);
  void expire(steady_time Now);

  std::string Self;
  std::vector<std::string> Others;
  bool IsTrying = true;
  duration ReportDelay{};
  steady_time TickAt; // of the last tick
  wall_time TrueTime; // the same
  std::map<run_key, crash> Crashes;
  absl::flat_hash_set<uint64_t> Watched;       // parts of Crashes and of Held
  absl::flat_hash_map<uint64_t, answer> Sound; // those that were answered
  // Last answer to this entry's requests with a part, watched or not.
  absl::flat_hash_map<uint64_t, steady_time> Answered;
  steady_time NextForgetting = steady_time::min();
  std::map<uint64_t, hold> Held;
  std::map<uint64_t, wall_time> FreedAt;
  std::vector<change> Changes;
  bool IsNews = false; // since the last judgement
  steady_time NextJudgement = steady_time::min();
  steady_time JudgedUntil = steady_time::min();
};

} // namespace monsoonreel

#endif // ROUTING_PART_QUARANTINE_H
