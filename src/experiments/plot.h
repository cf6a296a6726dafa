/// Results as one HTML page with SVG plots and a table.
#pragma once

#include <json/json.h>

#include <string>
#include <vector>

namespace beechhill::experiments {

/// `rows` as read_lines returns them, `timing` the rows of the timing file or none. The page needs
/// nothing but itself. Throws std::runtime_error where there are no rows, or gnuplot is missing or
/// fails.
std::string html_report(const std::string& title, const std::vector<Json::Value>& rows,
                        const std::vector<Json::Value>& timing);

}  // namespace beechhill::experiments
