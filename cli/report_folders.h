// Saved metrics as the input of a report.
//
//   report_folders Folders(Names, Findings);
//   if (auto Range = Folders.range()) {
//     burn_counter Counter(*Range, Windows, Folders.maxGap());
//     Folders.read(Counter, Findings);
//   }
//
// A folder holds the files of one entry. Each file is what the entry answered
// on /metrics; its name is the time in Unix seconds, alone or followed by .prom
// or .txt. A folder may hold such folders in place of files.

#ifndef CLI_REPORT_FOLDERS_H
#define CLI_REPORT_FOLDERS_H

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel::cli {

class report_folders {
public:
  // Lists the folders. What can't be listed or has another name is a finding.
  report_folders(const std::vector<std::string> &Folders,
                 finding_list &Findings);

  // From the first file of all to the last; nothing without files.
  std::optional<time_range> range() const;
  // Three times the usual distance between two files of an entry.
  duration maxGap() const;
  // Reads the files one after another. What can't be read is a finding.
  void read(burn_counter &Counter, finding_list &Findings) const;

private:
  using file_map = std::multimap<wall_time, std::filesystem::path>;

  void list(const std::filesystem::path &Folder, bool IsTop,
            finding_list &Findings);

  std::map<std::string, file_map> Entries;
};

} // namespace monsoonreel::cli

#endif // CLI_REPORT_FOLDERS_H
