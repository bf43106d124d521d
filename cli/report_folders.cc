#include "cli/report_folders.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace monsoonreel::cli {

namespace {

namespace fs = std::filesystem;

// The year 9999; a later name can't be meant.
constexpr int64_t latest_seconds = 253402300799;
constexpr int gap_factor = 3;
// A metrics text is bounded by the entry's bound on label sets.
constexpr uintmax_t max_file_bytes = 32 << 20;

std::optional<wall_time> timeOf(const fs::path &File) {
  std::string Extension = File.extension().string();
  if (!Extension.empty() && Extension != ".prom" && Extension != ".txt")
    return std::nullopt;
  std::string Name = File.stem().string();
  int64_t Seconds = 0;
  auto Result =
      std::from_chars(Name.data(), Name.data() + Name.size(), Seconds);
  if (Result.ec != std::errc() || Result.ptr != Name.data() + Name.size() ||
      Seconds < 0 || Seconds > latest_seconds)
    return std::nullopt;
  return wall_time(std::chrono::seconds(Seconds));
}

std::optional<std::string> readText(const fs::path &File) {
  std::error_code Error;
  uintmax_t Size = fs::file_size(File, Error);
  if (Error || Size > max_file_bytes)
    return std::nullopt;
  std::ifstream Stream(File, std::ios::binary);
  std::ostringstream Text;
  if (Size > 0 && !(Text << Stream.rdbuf()))
    return std::nullopt;
  return Text.str();
}

} // namespace

report_folders::report_folders(const std::vector<std::string> &Folders,
                               finding_list &Findings) {
  for (const std::string &Folder : Folders)
    list(fs::path(Folder).lexically_normal(), true, Findings);
}

void report_folders::list(const fs::path &Folder, bool IsTop,
                          finding_list &Findings) {
  std::error_code Error;
  fs::directory_iterator Items(Folder, Error);
  if (Error)
    return Findings.add({Folder.string(), 0, 0, ""},
                        "can't be listed: " + Error.message());
  file_map Files;
  std::vector<fs::path> Below;
  for (const fs::directory_entry &Item : Items) {
    if (IsTop && Item.is_directory(Error))
      Below.push_back(Item.path());
    else if (auto Time = timeOf(Item.path()))
      Files.emplace(*Time, Item.path());
    else
      Findings.add({Item.path().string(), 0, 0, ""},
                   "the name is not a time in Unix seconds");
  }
  std::sort(Below.begin(), Below.end());
  for (const fs::path &Next : Below)
    list(Next, false, Findings);
  if (Files.empty() && Below.empty())
    Findings.add({Folder.string(), 0, 0, ""}, "holds no saved metrics");
  if (!Files.empty())
    Entries[Folder.string()] = std::move(Files);
}

std::optional<time_range> report_folders::range() const {
  std::optional<time_range> Range;
  for (const auto &[Entry, Files] : Entries) {
    time_range Own{Files.begin()->first, Files.rbegin()->first};
    if (!Range)
      Range = Own;
    Range->From = std::min(Range->From, Own.From);
    Range->To = std::max(Range->To, Own.To);
  }
  return Range;
}

duration report_folders::maxGap() const {
  std::vector<duration> Distances;
  for (const auto &[Entry, Files] : Entries)
    for (auto It = Files.begin(); std::next(It) != Files.end(); ++It)
      Distances.push_back(std::next(It)->first - It->first);
  if (Distances.empty())
    return duration::zero();
  auto Middle = Distances.begin() + static_cast<long>(Distances.size() / 2);
  std::nth_element(Distances.begin(), Middle, Distances.end());
  return gap_factor * *Middle;
}

void report_folders::read(burn_counter &Counter, finding_list &Findings) const {
  for (const auto &[Entry, Files] : Entries)
    for (const auto &[Time, File] : Files) {
      auto Text = readText(File);
      if (!Text) {
        Findings.add({File.string(), 0, 0, ""}, "can't be read");
        continue;
      }
      if (auto Sample = parseBurnSample(*Text, File.string(), Time, Findings))
        Counter.add(Entry, *Sample, Findings);
    }
}

} // namespace monsoonreel::cli
