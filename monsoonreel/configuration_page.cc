#include "monsoonreel/configuration_page.h"

#include <algorithm>
#include <array>
#include <span>
#include <string_view>

namespace monsoonreel {

namespace {

struct field_meaning {
  std::string_view Path;
  std::string_view Text;
};

constexpr std::array configuration_meanings = std::to_array<field_meaning>({
    {"classes[].name", "a kind of request with a contracted tail latency"},
    {"classes[].tier", "0 is the highest; lower tiers are shed first"},
    {"classes[].first_token",
     "target until the first token of a model's answer, or the whole answer of "
     "a plain service"},
    {"classes[].between_tokens",
     "target between two tokens; 0s for plain services"},
    {"classes[].objective", "part of the requests that must meet the targets"},
    {"classes[].minimum_share",
     "part of a pool's grants while the class has work waiting; all shares "
     "together are at most 1"},
    {"classes[].cheap_allowed",
     "whether requests may run on upstreams that can be reclaimed"},
    {"organisations[].name", "a customer; keys are given to it"},
    {"organisations[].weight",
     "share of a contended pool, relative to other organisations"},
    {"organisations[].requests_per_second",
     "limit over all entries; 0 means none"},
    {"organisations[].classes",
     "names of the classes that it may use; empty means all"},
    {"upstreams[].name", "a back end"},
    {"upstreams[].kind", "a model engine or a plain service"},
    {"upstreams[].pool",
     "upstreams of one pool serve the same model or service"},
    {"upstreams[].zone", "its availability zone"},
    {"upstreams[].address", "where it listens"},
    {"upstreams[].concurrency",
     "requests that it serves at once without missing targets"},
    {"upstreams[].cheap", "whether it can be reclaimed at a short notice"},
    {"upstreams[].checks_fence",
     "whether it refuses orders with an old fencing number"},
    {"upstreams[].cost", "relative cost of one second of use"},
    {"routes[].path", "prefix of the path, beginning with /; the longest wins"},
    {"routes[].pool", "empty: the model that the request names"},
    {"routes[].class", "class of a request that names none"},
    {"routes[].idempotent", "whether a request may be sent again"},
    {"routes[].open", "whether it is served without a key"},
    {"limits.max_queue_wait",
     "longest time that a request waits for a slot, whatever its deadline"},
    {"limits.max_queue_length", "bound of one queue"},
    {"limits.retry_budget",
     "retries of an organisation, as a part of its requests"},
    {"limits.claim_window", "how long a claimed idempotency key is remembered"},
    {"limits.stale_key_trust",
     "how long an entry that hears neither the log nor a peer runs idempotent "
     "requests with the keys that it knows"},
    {"limits.stale_key_trust_non_idempotent",
     "the same for requests that must not be repeated"},
    {"limits.usage_window", "length of one usage window"},
});

constexpr std::array settings_meanings = std::to_array<field_meaning>({
    {"name", "the process's name, unique in the site"},
    {"zone", "its availability zone"},
    {"listen", "where an entry takes callers' requests; entries only"},
    {"peer", "where it listens for other entries and stewards"},
    {"admin", "health, metrics and status"},
    {"platform", "the platform's address"},
    {"seeds", "peer addresses of a few entries and stewards in every zone"},
    {"policy", "how upstreams' slots are granted"},
    {"log_level", "the least level that is logged"},
    {"limits.header_bytes", "bound of a caller's request head"},
    {"limits.body_bytes", "bound of a caller's request body"},
    {"limits.connections", "callers' connections at once"},
    {"limits.connections_per_address", "the same from one address"},
    {"limits.header_timeout", "for a whole request head"},
    {"limits.idle_timeout", "for the next request on an open connection"},
    {"limits.drain_timeout", "for running requests after the order to end"},
});

constexpr std::string_view introduction = R"(# Configuration and settings

This page is printed by `monsoonreel reference`; change
`monsoonreel/configuration_page.cc` or the readers, not the page. Times have a
unit: us, ms, s, min or h. Unknown keys are findings.

)";

constexpr std::string_view table_head = "| key | accepts | default | means |\n"
                                        "| --- | --- | --- | --- |\n";

std::string_view meaningOf(std::span<const field_meaning> Meanings,
                           const std::string &Path) {
  const auto *Found =
      std::find_if(Meanings.data(), Meanings.data() + Meanings.size(),
                   [&](const field_meaning &M) { return M.Path == Path; });
  return Found == Meanings.data() + Meanings.size() ? "" : Found->Text;
}

std::string defaultText(const yaml_field &Field) {
  if (!Field.Default)
    return "required";
  return Field.Default->empty() ? "empty" : "`" + *Field.Default + "`";
}

std::string table(const std::vector<yaml_field> &Fields,
                  std::span<const field_meaning> Meanings) {
  std::string Text(table_head);
  for (const yaml_field &Field : Fields)
    Text += "| `" + Field.Path + "` | " + Field.Accepts + " | " +
            defaultText(Field) + " | " +
            std::string(meaningOf(Meanings, Field.Path)) + " |\n";
  return Text;
}

void addUndocumented(const std::vector<yaml_field> &Fields,
                     std::span<const field_meaning> Meanings,
                     std::vector<std::string> &Paths) {
  for (const yaml_field &Field : Fields)
    if (meaningOf(Meanings, Field.Path).empty())
      Paths.push_back(Field.Path);
  for (const field_meaning &Meaning : Meanings)
    if (std::none_of(Fields.begin(), Fields.end(), [&](const yaml_field &F) {
          return F.Path == Meaning.Path;
        }))
      Paths.emplace_back(Meaning.Path);
}

} // namespace

std::string configurationPage() {
  std::string Text(introduction);
  Text += "## Configuration\n\nThe document that operators put in force by "
          "`monsoonreel apply`.\n\n";
  Text += table(configurationFields(), configuration_meanings);
  Text += "\n## Settings\n\nThe file of one process, given by `--settings`; it "
          "holds for the process's life.\n\n";
  return Text + table(settingsFields(), settings_meanings);
}

std::vector<std::string> undocumentedFields() {
  std::vector<std::string> Paths;
  addUndocumented(configurationFields(), configuration_meanings, Paths);
  addUndocumented(settingsFields(), settings_meanings, Paths);
  return Paths;
}

} // namespace monsoonreel
