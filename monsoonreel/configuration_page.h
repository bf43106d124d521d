// The page that lists every key of the configuration and of the settings files.
//
//   std::cout << configurationPage(); // docs/CONFIGURATION.md
//
// What is accepted at a key and its default come from the reader that checks
// the documents; a test compares the page with the committed one.

#ifndef MONSOONREEL_CONFIGURATION_PAGE_H
#define MONSOONREEL_CONFIGURATION_PAGE_H

#include <string>
#include <vector>

#include "monsoonreel/yaml_field.h"

namespace monsoonreel {

// What is read from a configuration document and from a settings file.
std::vector<yaml_field> configurationFields();
std::vector<yaml_field> settingsFields();

// In Markdown.
std::string configurationPage();

// Keys without a text on what they mean, and texts without a key.
std::vector<std::string> undocumentedFields();

} // namespace monsoonreel

#endif // MONSOONREEL_CONFIGURATION_PAGE_H
