// Generates the page that lists every key of the configuration and the settings
// files.
//
//   std::cout << configurationPage(); // docs/CONFIGURATION.md
//
// The accepted values and the default of a key come from the reader that checks
// the documents. A test compares the page with the committed file.

#ifndef MONSOONREEL_CONFIGURATION_PAGE_H
#define MONSOONREEL_CONFIGURATION_PAGE_H

#include <string>
#include <vector>

#include "monsoonreel/yaml_field.h"

namespace monsoonreel {

// The fields of a configuration document and of a settings file.
std::vector<yaml_field> configurationFields();
std::vector<yaml_field> settingsFields();

// The page in Markdown.
std::string configurationPage();

// Paths of keys without a description, and of descriptions without a key.
std::vector<std::string> undocumentedFields();

} // namespace monsoonreel

#endif // MONSOONREEL_CONFIGURATION_PAGE_H
