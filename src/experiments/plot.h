// Results as one HTML page with SVG plots and a table. gnuplot is called as a program.
#pragma once

#include <json/json.h>

#include <string>
#include <vector>

namespace beechhill::experiments {

// `rows` as read_lines returns them, `timing` the rows of the timing file or none. Throws
// std::runtime_error where gnuplot is missing or fails. The page needs nothing but itself.
std::string html_report(const std::string& title, const std::vector<Json::Value>& rows,
                        const std::vector<Json::Value>& timing);

}  // namespace beechhill::experiments
