// A burn report as text, JSON or a page.

#ifndef CLI_REPORT_RENDER_H
#define CLI_REPORT_RENDER_H

#include <string>

#include <nlohmann/json.hpp>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel::cli {

// With the worst organisations of each class.
std::string renderText(const burn_report &Report);
// With all organisations.
nlohmann::json renderJson(const burn_report &Report);
// One self-contained HTML document with all organisations and a plot of each
// class. Names are escaped.
std::string renderHtml(const burn_report &Report);

// "83.1%", or "-" for nothing.
std::string percentText(const std::optional<double> &Part);
// "0.17", or "-" for nothing.
std::string rateText(const std::optional<double> &Rate);
// "fast", with "(partial)" when a window of the alert is.
std::string alertText(const burn_line &Line);
// Names the organisation of requests on routes that are open to all.
std::string displayName(const organisation_name &Organisation);
// "1 h", with "*" when the data are shorter than the window.
std::string windowText(const burn_window &Window, const time_range &Range);

} // namespace monsoonreel::cli

#endif // CLI_REPORT_RENDER_H
