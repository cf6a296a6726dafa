/// Renders results of runs as an HTML page with SVG plots and a table.
#pragma once

#include <json/json.h>

#include <string>
#include <vector>

namespace beechhill::experiments {

/// Returns a self-contained HTML page. `rows` are results as read_lines() returns them; `timing`
/// are the rows of the experiment's timing file, or empty. Throws std::runtime_error if `rows` is
/// empty or gnuplot is missing or fails.
std::string html_report(const std::string& title, const std::vector<Json::Value>& rows,
                        const std::vector<Json::Value>& timing);

}  // namespace beechhill::experiments
