#include "routing/part_quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "absl/strings/str_cat.h"

#include "monsoonreel/rendezvous.h"

namespace monsoonreel {

namespace {

// A reported answer or hold is taken over only if it is later by this much.
// Otherwise entries could repeat it to each other indefinitely, because each
// transfer makes it appear a little newer.
constexpr duration report_tolerance = std::chrono::milliseconds(500);
constexpr duration judgement_period = std::chrono::milliseconds(100);
// The round from which on holds do not become longer.
constexpr int max_round = 8;

duration holdOf(int Round) {
  duration Hold = first_part_hold;
  for (int I = 1; I < std::min(Round, max_round); ++I)
    Hold *= 2;
  return std::min<duration>(Hold, max_part_hold);
}

// Calls Do with the id and place of each part that other prompts may share.
template <typename F> void forSharedParts(const prompt_info &Prompt, F Do) {
  for (size_t I = 0; I + 1 < Prompt.Parts.size(); ++I)
    Do(Prompt.Parts[I].Id, static_cast<int>(I));
}

uint64_t idOf(int64_t Wire) { return static_cast<uint64_t>(Wire); }

template <typename T> void keepNewest(std::vector<T> &List, size_t Most) {
  std::sort(List.begin(), List.end(),
            [](const T &A, const T &B) { return A.AgeMicros < B.AgeMicros; });
  List.resize(std::min(List.size(), Most));
}

} // namespace

// ----------------------------------------------------------------- evidence

bool part_quarantine::isSuspect(const evidence &Evidence) {
  // Sound parts that are always open beside a held one have no other crashes.
  if (Evidence.Unexplained == 0)
    return false;
  if (Evidence.UnexplainedMoments >= certain_moments)
    return true;
  bool IsOpenAtMost = Evidence.Crashes >=
                      own_crash_share * (Evidence.Crashes + Evidence.Others);
  int Needed =
      IsOpenAtMost ? unanswered_part_own_crashes : unanswered_part_crashes;
  if (!Evidence.WasAnswered && Evidence.SettledCrashes >= Needed)
    return true;
  return Evidence.Moments >= suspect_moments &&
         Evidence.Crashes >= suspect_crash_share * (Evidence.Crashes +
                                                    Evidence.UnexplainedOthers);
}

duration part_quarantine::settleTime() const {
  return std::max<duration>(min_crash_downtime, 2 * ReportDelay);
}

part_quarantine::crash *part_quarantine::crashOf(const run_key &Run,
                                                 steady_time At) {
  auto It = Crashes.find(Run);
  if (It == Crashes.end()) {
    if (Crashes.size() >= max_crashes) {
      auto Oldest = std::min_element(Crashes.begin(), Crashes.end(),
                                     [](const auto &A, const auto &B) {
                                       return A.second.At < B.second.At;
                                     });
      if (Oldest->second.At >= At)
        return nullptr;
      Crashes.erase(Oldest);
    }
    It = Crashes.try_emplace(Run).first;
    It->second.At = At;
  }
  It->second.At = std::min(It->second.At, At);
  return &It->second;
}

void part_quarantine::addPart(crash &Crash, uint64_t Part, int Place,
                              steady_time Now) {
  if (Crash.Parts.size() < max_crash_parts)
    Crash.Parts.try_emplace(Part, Place);
  Crash.Explained = Crash.Explained || Held.contains(Part);
  if (Crash.Parts.contains(Part) && Watched.size() < max_watched_parts &&
      Watched.insert(Part).second)
    if (auto It = Answered.find(Part); It != Answered.end())
      recordSound(Part, It->second, true, Now);
  IsNews = true;
}

void part_quarantine::onBroken(const upstream_instance &Run,
                               const prompt_info &Prompt, steady_time Now) {
  crash *Crash = crashOf({Run.Name.Value, Run.StartedAt.count()}, Now);
  forSharedParts(Prompt, [&](uint64_t Part, int Place) {
    if (auto It = Held.find(Part);
        It != Held.end() && TrueTime >= It->second.Until)
      holdAgain(Part, It->second);
    if (!Crash)
      return;
    addPart(*Crash, Part, Place, Now);
    if (Crash->Parts.contains(Part))
      Crash->OwnParts.insert(Part);
  });
}

void part_quarantine::onAnswer(const upstream_instance &Run, steady_time SentAt,
                               steady_time Now) {
  auto It = Crashes.find({Run.Name.Value, Run.StartedAt.count()});
  if (It == Crashes.end() || SentAt <= It->second.At ||
      Now - It->second.At >= min_crash_downtime)
    return;
  It->second.Refuted = It->second.RefutedByOwn = true;
}

void part_quarantine::onSound(const prompt_info &Prompt, steady_time BeganAt,
                              steady_time Now) {
  forSharedParts(Prompt, [&](uint64_t Part, int) {
    rememberAnswer(Part, BeganAt);
    recordSound(Part, BeganAt, true, Now);
  });
}

void part_quarantine::rememberAnswer(uint64_t Part, steady_time BeganAt) {
  if (Answered.size() < max_sound_parts || Answered.contains(Part))
    Answered[Part] = BeganAt;
}

void part_quarantine::recordSound(uint64_t Part, steady_time BeganAt, bool Own,
                                  steady_time Now) {
  if (!Watched.contains(Part))
    return;
  if (auto It = Held.find(Part);
      It != Held.end() && trueTimeOf(BeganAt) > It->second.Since + crash_moment)
    free(Part);
  auto It = Sound.find(Part);
  if (It == Sound.end()) {
    if (Sound.size() < max_sound_parts)
      Sound[Part] = {BeganAt, Now, Own};
    return;
  }
  answer &Last = It->second;
  if (BeganAt > Last.BeganAt + (Own ? duration::zero() : report_tolerance))
    Last = {BeganAt, Now, Own};
}

// ----------------------------------------------------------------- judgement

void part_quarantine::addTo(evidence &Evidence, const crash &Crash) {
  if (Evidence.Crashes++ == 0)
    Evidence.First = Crash.At;
  if (Evidence.Moments == 0 || Crash.At - Evidence.Last >= crash_moment) {
    ++Evidence.Moments;
    Evidence.Last = Crash.At;
  }
  if (Crash.Explained)
    return;
  if (Evidence.Unexplained++ == 0 ||
      Crash.At - Evidence.LastUnexplained >= crash_moment) {
    ++Evidence.UnexplainedMoments;
    Evidence.LastUnexplained = Crash.At;
  }
}

absl::flat_hash_map<uint64_t, part_quarantine::evidence>
part_quarantine::collect(steady_time Now) const {
  std::vector<const crash *> Known;
  for (const auto &[Run, Crash] : Crashes)
    if (!Crash.Refuted && Now - Crash.At >= ReportDelay)
      Known.push_back(&Crash);
  std::sort(Known.begin(), Known.end(),
            [](const crash *A, const crash *B) { return A->At < B->At; });
  absl::flat_hash_map<uint64_t, evidence> Found;
  for (const crash *Crash : Known)
    for (const auto &[Part, Place] : Crash->Parts) {
      auto Answer = Sound.find(Part);
      if (Answer != Sound.end() && Answer->second.BeganAt >= Crash->At)
        continue;
      evidence &Evidence = Found[Part];
      addTo(Evidence, *Crash);
      Evidence.WasAnswered =
          Answer != Sound.end() &&
          Evidence.First - Answer->second.BeganAt < answer_memory;
      Evidence.SettledCrashes += Now - Crash->At >= settleTime() ? 1 : 0;
      Evidence.Place = std::max(Evidence.Place, Place);
    }
  for (auto &[Part, Evidence] : Found) {
    for (const crash *Crash : Known)
      if (Crash->At > Evidence.First - crash_moment) {
        ++Evidence.Others;
        Evidence.UnexplainedOthers += Crash->Explained ? 0 : 1;
      }
    Evidence.Others -= Evidence.Crashes;
    Evidence.UnexplainedOthers -= Evidence.Unexplained;
  }
  return Found;
}

void part_quarantine::judge(steady_time Now) {
  while (Held.size() < max_held_parts) {
    absl::flat_hash_map<uint64_t, evidence> Found = collect(Now);
    absl::erase_if(Found,
                   [](const auto &Item) { return !isSuspect(Item.second); });
    if (Found.empty())
      return;
    // Of parts that were always together, the last one is the most specific.
    auto Worst = std::max_element(
        Found.begin(), Found.end(), [](const auto &A, const auto &B) {
          return std::tuple(A.second.Unexplained, A.second.Place, A.first) <
                 std::tuple(B.second.Unexplained, B.second.Place, B.first);
        });
    holdBack(Worst->first, Worst->second, Now);
  }
}

void part_quarantine::holdBack(uint64_t Part, const evidence &Evidence,
                               steady_time Now) {
  wall_time Since = trueTimeOf(Evidence.Last);
  duration Hold = Evidence.UnexplainedMoments < suspect_moments
                      ? duration(weak_part_hold)
                      : holdOf(1);
  Held[Part] = {Since, TrueTime + Hold, 1, -1};
  explainBy(Part);
  Changes.push_back({"held", Part, 1, Evidence.Crashes,
                     Evidence.UnexplainedOthers, Hold, Now - Evidence.First,
                     Now - Evidence.Last});
}

void part_quarantine::explainBy(uint64_t Part) {
  for (auto &[Run, Crash] : Crashes)
    Crash.Explained = Crash.Explained || Crash.Parts.contains(Part);
}

void part_quarantine::holdAgain(uint64_t Part, hold &Hold) {
  ++Hold.Round;
  Hold.Since = TrueTime;
  Hold.Until = TrueTime + holdOf(Hold.Round);
  Changes.push_back(
      {"held-again", Part, Hold.Round, 0, 0, holdOf(Hold.Round), {}, {}});
}

void part_quarantine::free(uint64_t Part) {
  Changes.push_back({"freed", Part, Held[Part].Round, 0, 0, {}, {}, {}});
  Held.erase(Part);
  FreedAt[Part] = TrueTime;
}

// ------------------------------------------------------------------- holding

int64_t part_quarantine::periodAt(wall_time TrueTime) {
  return TrueTime.time_since_epoch() / part_trial_period;
}

bool part_quarantine::isChosen(uint64_t Part, wall_time TrueTime) const {
  std::string Key = absl::StrCat(Part, "/", periodAt(TrueTime));
  uint64_t Own = rendezvousWeight(Key, Self);
  return std::none_of(Others.begin(), Others.end(), [&](const auto &Name) {
    return rendezvousWeight(Key, Name) > Own;
  });
}

bool part_quarantine::mayTry(uint64_t Part, const hold &Hold,
                             wall_time TrueTime) const {
  return TrueTime >= Hold.Until && IsTrying &&
         Hold.TriedIn != periodAt(TrueTime) && isChosen(Part, TrueTime);
}

std::optional<part_quarantine::held_back>
part_quarantine::heldBack(const prompt_info &Prompt, wall_time TrueTime) const {
  std::optional<held_back> Found;
  if (Held.empty())
    return Found;
  forSharedParts(Prompt, [&](uint64_t Part, int) {
    auto It = Held.find(Part);
    if (It == Held.end() || mayTry(Part, It->second, TrueTime))
      return;
    duration Left = It->second.Until - TrueTime;
    if (Left <= duration::zero())
      Left =
          part_trial_period - TrueTime.time_since_epoch() % part_trial_period;
    if (!Found || Left > Found->Left)
      Found = {Part, It->second.Round, Left};
  });
  return Found;
}

void part_quarantine::onSent(const prompt_info &Prompt, wall_time TrueTime) {
  if (Held.empty())
    return;
  forSharedParts(Prompt, [&](uint64_t Part, int) {
    auto It = Held.find(Part);
    if (It == Held.end())
      return;
    It->second.TriedIn = periodAt(TrueTime);
    Changes.push_back({"tried", Part, It->second.Round, 0, 0, {}, {}, {}});
  });
}

void part_quarantine::onTick(steady_time Now, wall_time Time) {
  TickAt = Now;
  TrueTime = Time;
  if (Now < NextJudgement)
    return;
  NextJudgement = Now + judgement_period;
  expire(Now);
  if (std::exchange(IsNews, false))
    JudgedUntil = Now + settleTime() + 2 * judgement_period;
  if (Now <= JudgedUntil)
    judge(Now);
}

void part_quarantine::expire(steady_time Now) {
  size_t Erased = std::erase_if(Crashes, [&](const auto &Item) {
    const crash &Crash = Item.second;
    return Now - Crash.At >=
           (Crash.Refuted ? duration(part_report_time) : crash_memory);
  });
  if (Now >= NextForgetting) {
    NextForgetting = Now + answer_memory / 4;
    absl::erase_if(Answered, [&](const auto &Item) {
      return Now - Item.second >= answer_memory;
    });
  }
  std::erase_if(FreedAt, [&](const auto &Item) {
    return TrueTime - Item.second >= max_part_hold;
  });
  for (auto It = Held.begin(); It != Held.end();) {
    if (TrueTime - It->second.Until < max_part_hold) {
      ++It;
      continue;
    }
    Changes.push_back(
        {"forgotten", It->first, It->second.Round, 0, 0, {}, {}, {}});
    It = Held.erase(It);
  }
  if (Erased == 0 && Watched.size() < max_watched_parts)
    return;
  Watched.clear();
  for (const auto &[Run, Crash] : Crashes)
    for (const auto &[Part, Place] : Crash.Parts)
      Watched.insert(Part);
  for (const auto &[Part, Hold] : Held)
    Watched.insert(Part);
  // Entries that still hold a freed part hear of its answers.
  for (const auto &[Part, At] : FreedAt)
    Watched.insert(Part);
  absl::erase_if(
      Sound, [&](const auto &Item) { return !Watched.contains(Item.first); });
}

// ------------------------------------------------------------------- reports

wire::part_report part_quarantine::report(bool OwnOnly, steady_time Now) const {
  wire::part_report Report;
  for (const auto &[Run, Crash] : Crashes) {
    if (Now - Crash.At >= part_report_time)
      continue;
    wire::upstream_crash Wire;
    Wire.Run.Upstream = Run.first;
    Wire.Run.StartedAtMillis = Run.second;
    Wire.AgeMicros = toMicros(Now - Crash.At);
    Wire.Refuted = OwnOnly ? Crash.RefutedByOwn : Crash.Refuted;
    for (const auto &[Part, Place] : Crash.Parts) {
      if (OwnOnly && !Crash.OwnParts.contains(Part))
        continue;
      Wire.Parts.emplace_back();
      Wire.Parts.back().Part = static_cast<int64_t>(Part);
      Wire.Parts.back().Place = Place;
    }
    if (Wire.Refuted || !Wire.Parts.empty())
      Report.Crashes.push_back(std::move(Wire));
  }
  for (const auto &[Part, Answer] : Sound) {
    if (Now - Answer.HeardAt >= part_report_time || (OwnOnly && !Answer.Own))
      continue;
    wire::sound_part Wire;
    Wire.Part = static_cast<int64_t>(Part);
    Wire.AgeMicros = toMicros(Now - Answer.BeganAt);
    Report.Sound.push_back(Wire);
  }
  keepNewest(Report.Crashes, max_reported_crashes);
  keepNewest(Report.Sound, max_reported_sound_parts);
  for (const auto &[Part, Hold] : Held) {
    wire::held_part Wire;
    Wire.Part = static_cast<int64_t>(Part);
    Wire.SinceMicros = toMicros(Hold.Since.time_since_epoch());
    Wire.UntilMicros = toMicros(Hold.Until.time_since_epoch());
    Wire.Round = Hold.Round;
    Report.Held.push_back(Wire);
  }
  return Report;
}

void part_quarantine::onReport(const wire::part_report &Report,
                               steady_time Now) {
  for (const wire::held_part &Each : Report.Held)
    onHeld(Each);
  for (const wire::upstream_crash &Each : Report.Crashes) {
    duration Age = std::max(fromMicros(Each.AgeMicros), duration::zero());
    if (Age >= part_report_time)
      continue;
    crash *Crash =
        crashOf({Each.Run.Upstream, Each.Run.StartedAtMillis}, Now - Age);
    if (!Crash)
      continue;
    Crash->Refuted = Crash->Refuted || Each.Refuted;
    for (const wire::crashed_part &Part : Each.Parts)
      addPart(*Crash, idOf(Part.Part), std::max(Part.Place, 0), Now);
  }
  for (const wire::sound_part &Each : Report.Sound)
    recordSound(idOf(Each.Part),
                Now - std::max(fromMicros(Each.AgeMicros), duration::zero()),
                false, Now);
}

void part_quarantine::onHeld(const wire::held_part &Report) {
  wall_time Since(fromMicros(Report.SinceMicros));
  wall_time Until(fromMicros(Report.UntilMicros));
  uint64_t Part = idOf(Report.Part);
  bool IsUsable = Report.Round >= 1 && Report.SinceMicros >= 0 &&
                  Since <= Until &&
                  Until - TrueTime <= max_part_hold + first_part_hold &&
                  TrueTime - Until < max_part_hold;
  auto Freed = FreedAt.find(Part);
  if (!IsUsable || (Freed != FreedAt.end() && Since <= Freed->second))
    return;
  auto It = Held.find(Part);
  if (It == Held.end()) {
    if (Held.size() >= max_held_parts)
      return;
    Held[Part] = {Since, Until, Report.Round, -1};
    Watched.insert(Part);
    explainBy(Part);
    Changes.push_back(
        {"held-by-report", Part, Report.Round, 0, 0, Until - TrueTime, {}, {}});
    return;
  }
  hold &Hold = It->second;
  if (std::pair(Report.Round, Until) <=
      std::pair(Hold.Round, Hold.Until + report_tolerance))
    return;
  Hold.Since = Since;
  Hold.Until = Until;
  Hold.Round = Report.Round;
}

} // namespace monsoonreel
