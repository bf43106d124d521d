#include "cli/commands.h"

#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include <nlohmann/json.hpp>

#include "cli/operator_log.h"
#include "monsoonreel/configuration.h"

namespace monsoonreel {

namespace {

void print(const command_context &Context, const nlohmann::json &Json,
           const std::string &Text) {
  std::cout << (Context.Json ? Json.dump() : Text) << std::endl;
}

std::optional<std::string> readFile(const std::string &File) {
  std::ifstream Input(File);
  if (!Input) {
    std::cerr << File << ": can't be read" << std::endl;
    return std::nullopt;
  }
  std::ostringstream Text;
  Text << Input.rdbuf();
  return Text.str();
}

// The document's text when it is without findings; else they are printed.
std::optional<std::string> readChecked(const std::string &File) {
  auto Document = readFile(File);
  if (!Document)
    return std::nullopt;
  auto Parsed = parseConfiguration(*Document, File);
  if (Parsed)
    return Document;
  std::cerr << Parsed.error().toString();
  return std::nullopt;
}

exit_status unreachable(const std::string &Error) {
  std::cerr << Error << std::endl;
  return exit_status::Unreachable;
}

} // namespace

exit_status checkFile(const command_context &Context, const std::string &File) {
  if (!readChecked(File))
    return exit_status::Findings;
  print(Context, {{"file", File}, {"findings", 0}}, File + ": no findings");
  return exit_status::Done;
}

exit_status applyFile(const command_context &Context, const std::string &File) {
  auto Document = readChecked(File);
  if (!Document)
    return exit_status::Findings;
  operator_log Log(Context.Platform);
  if (auto Error = Log.catchUp())
    return unreachable(*Error);
  int64_t Base = Log.state().configOffset().Value;
  if (Log.state().document() == *Document) {
    print(Context, {{"version", Base}, {"changed", false}},
          "version " + std::to_string(Base) + " is this document already");
    return exit_status::Done;
  }
  wire::config_edit Edit;
  Edit.Base = Base;
  Edit.Document = *Document;
  Edit.Author = Context.Author;
  wire::log_record Record;
  Record.__set_ConfigEdit(Edit);
  auto Change = Log.append(std::move(Record));
  if (!Change)
    return unreachable(Change.error());
  if (!Change->isValid()) {
    std::cerr << "not applied: " << Change->Reason << "; the version in force "
              << "is " << Log.state().configOffset().Value
              << " and this was based on " << Base
              << ". Look at `monsoonreel diff` and apply again." << std::endl;
    return exit_status::Conflict;
  }
  print(Context, {{"version", Change->Offset.Value}, {"changed", true}},
        "version " + std::to_string(Change->Offset.Value) + " is accepted");
  return exit_status::Done;
}

} // namespace monsoonreel
