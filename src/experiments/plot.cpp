#include "experiments/plot.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <stdexcept>

#include "experiments/gnuplot.h"
#include "experiments/temp_folder.h"

namespace beechhill::experiments {
namespace {

// Maximum number of plots of one kind. Of a larger grid only a sample of points is plotted, as
// those in between add little.
constexpr std::size_t kMaxPlotsPerKind = 6;
// Smallest ratio of the largest to the smallest x value for which the x axis is logarithmic.
constexpr double kLogAxisRatio = 30;

struct Mean {
  double sum = 0;
  int count = 0;
  void add(double value) {
    sum += value;
    ++count;
  }
  double get() const { return count > 0 ? sum / count : 0; }
};

struct Column {
  const char* key;
  const char* title;
};
constexpr std::array<Column, 7> kColumns{{{"goodput", "goodput"},
                                          {"p50_s", "p50 s"},
                                          {"p99_s", "p99 s"},
                                          {"p999_s", "p99.9 s"},
                                          {"waste", "waste"},
                                          {"tries_per_request", "tries"},
                                          {"attempts_per_request", "attempts"}}};

// One row of the table: results of one policy at one point of the grid, aggregated over all seeds.
struct TableRow {
  std::map<std::string, Mean> columns;
  Mean rejected_share;
  double violations = 0;
  // Mean recovery time of the runs that recovered from a fault, in seconds.
  Mean recovery_s;
  int runs_with_fault = 0;
};

struct ResultTable {
  // Labels of the grid's points, in the order in which the results mention them.
  std::vector<std::string> labels;
  // Rows by label and policy.
  std::map<std::string, std::map<std::string, TableRow>> rows;
};

std::string escape(const std::string& text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

std::string parameter_label(const Json::Value& params) {
  std::string out;
  for (const std::string& key : params.getMemberNames()) {
    const Json::Value& value = params[key];
    out += (out.empty() ? "" : ", ") + key + "=" +
           (value.type() == Json::realValue ? fmt::format("{:g}", value.asDouble())
                                            : value.asString());
  }
  return out;
}

std::string with_label(const std::string& title, const std::string& label) {
  return label.empty() ? title : title + ": " + label;
}

std::string policy_of(const Json::Value& row) {
  return row["cell"]["policy"].asString();
}

// Returns the parameter for the x axis: the first one, by name, that has two or more distinct
// numeric values. Returns an empty string if there is none.
std::string find_x_parameter(const std::vector<Json::Value>& rows) {
  std::map<std::string, std::set<double>> seen;
  for (const Json::Value& row : rows) {
    const Json::Value& params = row["cell"]["params"];
    for (const std::string& key : params.getMemberNames()) {
      if (params[key].isNumeric()) {
        seen[key].insert(params[key].asDouble());
      }
    }
  }
  for (const auto& [key, values] : seen) {
    if (values.size() > 1) {
      return key;
    }
  }
  return "";
}

// Plots the mean over the seeds against the parameter `x`, with one line for each combination of a
// policy and the other parameters.
LinePlot plot_against(const std::vector<Json::Value>& rows, const std::string& x,
                      const std::string& title, const std::string& y,
                      const std::function<double(const Json::Value&)>& value_of) {
  std::map<std::string, std::map<double, Mean>> lines;
  for (const Json::Value& row : rows) {
    Json::Value others = row["cell"]["params"];
    others.removeMember(x);
    const std::string name =
        others.empty() ? policy_of(row) : policy_of(row) + " (" + parameter_label(others) + ")";
    const double value = value_of(row);
    if (std::isfinite(value)) {
      lines[name][row["cell"]["params"][x].asDouble()].add(value);
    }
  }
  LinePlot plot{title, x, y, {}, false, false};
  double min_x = std::numeric_limits<double>::infinity();
  double max_x = 0;
  for (const auto& [name, points] : lines) {
    PlotLine line{name, {}};
    for (const auto& [x_value, mean] : points) {
      line.points.emplace_back(x_value, mean.get());
      min_x = std::min(min_x, x_value);
      max_x = std::max(max_x, x_value);
    }
    plot.lines.push_back(std::move(line));
  }
  plot.log_x = min_x > 0 && max_x / min_x >= kLogAxisRatio;
  return plot;
}

// Plots the mean over the seeds against time, with one plot for each point of the grid and one line
// for each policy.
std::vector<LinePlot> time_series(const std::vector<Json::Value>& rows, const std::string& title,
                                  const std::string& y, const char* field) {
  std::map<std::string, std::map<std::string, std::map<int, Mean>>> by_label;
  for (const Json::Value& row : rows) {
    int second = 0;
    for (const Json::Value& values : row["result"]["seconds"]) {
      by_label[parameter_label(row["cell"]["params"])][policy_of(row)][second++].add(
          values[field].asDouble());
    }
  }
  std::vector<LinePlot> plots;
  for (const auto& [label, policies] : by_label) {
    LinePlot plot{with_label(title, label), "seconds", y, {}, false, false};
    for (const auto& [policy, points] : policies) {
      PlotLine line{policy, {}};
      for (const auto& [time, mean] : points) {
        line.points.emplace_back(time, mean.get());
      }
      plot.lines.push_back(std::move(line));
    }
    plots.push_back(std::move(plot));
  }
  return plots;
}

// Plots the latency distribution of the first seed only, as distributions are not averaged.
std::vector<LinePlot> latency_distributions(const std::vector<Json::Value>& rows) {
  std::map<std::string, std::map<std::string, const Json::Value*>> by_label;
  for (const Json::Value& row : rows) {
    const Json::Value& cdf = row["result"]["latency_cdf"];
    if (!cdf.empty()) {
      by_label[parameter_label(row["cell"]["params"])].try_emplace(policy_of(row), &cdf);
    }
  }
  std::vector<LinePlot> plots;
  for (const auto& [label, policies] : by_label) {
    LinePlot plot{with_label("Latency of served requests", label),
                  "seconds",
                  "cumulative share",
                  {},
                  true,
                  false};
    for (const auto& [policy, cdf] : policies) {
      PlotLine line{policy, {}};
      for (const Json::Value& point : *cdf) {
        line.points.emplace_back(point[0].asDouble(), point[1].asDouble());
      }
      plot.lines.push_back(std::move(line));
    }
    plots.push_back(std::move(plot));
  }
  return plots;
}

// Returns at most kMaxPlotsPerKind of the plots, evenly spaced, including the first and the last.
std::vector<LinePlot> sample_evenly(std::vector<LinePlot> plots) {
  if (plots.size() <= kMaxPlotsPerKind) {
    return plots;
  }
  std::vector<LinePlot> chosen;
  chosen.reserve(kMaxPlotsPerKind);
  for (std::size_t i = 0; i < kMaxPlotsPerKind; ++i) {
    chosen.push_back(plots[i * (plots.size() - 1) / (kMaxPlotsPerKind - 1)]);
  }
  return chosen;
}

void add_to_row(TableRow& row, const Json::Value& result) {
  for (const Column& column : kColumns) {
    if (result.isMember(column.key)) {
      row.columns[column.key].add(result[column.key].asDouble());
    }
  }
  if (result.isMember("recovery_s")) {
    const double recovery_s = result["recovery_s"].asDouble();
    ++row.runs_with_fault;
    if (recovery_s >= 0) {
      row.recovery_s.add(recovery_s);
    }
  }
  for (const std::string& rule : result["rules"].getMemberNames()) {
    row.violations += result["rules"][rule].asDouble();
  }
  const Json::Value& all = result["all"];
  row.rejected_share.add(all["refused"].asDouble() / std::max(1.0, all["asked"].asDouble()));
}

ResultTable tabulate(const std::vector<Json::Value>& rows) {
  ResultTable table;
  for (const Json::Value& row : rows) {
    const std::string label = parameter_label(row["cell"]["params"]);
    if (!table.rows.contains(label)) {
      table.labels.push_back(label);
    }
    add_to_row(table.rows[label][policy_of(row)], row["result"]);
  }
  return table;
}

std::string recovery_text(const TableRow& row) {
  std::string out;
  if (row.recovery_s.count > 0) {
    out += fmt::format("{:.1f}", row.recovery_s.get());
  }
  const int never = row.runs_with_fault - row.recovery_s.count;
  if (never > 0) {
    out += fmt::format(" (never in {} of {} runs)", never, row.runs_with_fault);
  }
  return out;
}

std::string html_row(const std::string& label, const std::string& policy, const TableRow& row) {
  std::string out = fmt::format("<tr><td>{}</td><td>{}</td>", escape(label), escape(policy));
  for (const Column& column : kColumns) {
    const auto it = row.columns.find(column.key);
    out += it == row.columns.end() ? "<td></td>" : fmt::format("<td>{:.4f}</td>", it->second.get());
  }
  out += fmt::format("<td>{}</td><td>{:.4f}</td><td>{:g}</td></tr>\n", recovery_text(row),
                     row.rejected_share.get(), row.violations);
  return out;
}

std::string html_table(const std::vector<Json::Value>& rows) {
  const ResultTable table = tabulate(rows);
  std::string out = "<table><tr><th>setting</th><th>policy</th>";
  for (const Column& column : kColumns) {
    out += fmt::format("<th>{}</th>", column.title);
  }
  out += "<th>recovery s</th><th>rejected</th><th>rule violations</th></tr>\n";
  for (const std::string& label : table.labels) {
    for (const auto& [policy, row] : table.rows.at(label)) {
      out += html_row(label, policy, row);
    }
  }
  return out + "</table>\n";
}

std::vector<LinePlot> parameter_plots(const std::vector<Json::Value>& rows,
                                      const std::vector<Json::Value>& timing,
                                      const std::string& x) {
  const auto result_field = [](const char* key) {
    return [key](const Json::Value& row) { return row["result"][key].asDouble(); };
  };
  std::vector<LinePlot> plots;
  plots.push_back(
      plot_against(rows, x, "Goodput", "share of the requested worth", result_field("goodput")));
  plots.push_back(plot_against(rows, x, "99th percentile latency of served requests", "seconds",
                               result_field("p99_s")));
  plots.push_back(
      plot_against(rows, x, "Wasted work", "share of the work done", result_field("waste")));
  plots.push_back(plot_against(rows, x, "Busy time of the busiest node", "multiple of the mean",
                               [](const Json::Value& row) {
                                 return row["result"]["tiers"][0]["busy_max_over_mean"].asDouble();
                               }));
  if (!timing.empty()) {
    LinePlot cost =
        plot_against(timing, x, "Wall time per decision, including the emulation", "microseconds",
                     [](const Json::Value& row) { return row["us_per_decision"].asDouble(); });
    cost.log_y = true;
    plots.push_back(std::move(cost));
  }
  return plots;
}

std::vector<LinePlot> all_plots(const std::vector<Json::Value>& rows,
                                const std::vector<Json::Value>& timing) {
  std::vector<LinePlot> plots;
  const std::string x = find_x_parameter(rows);
  if (!x.empty()) {
    plots = parameter_plots(rows, timing, x);
  }
  const auto append = [&plots](std::vector<LinePlot> more) {
    for (LinePlot& plot : sample_evenly(std::move(more))) {
      plots.push_back(std::move(plot));
    }
  };
  append(time_series(rows, "Goodput by arrival second", "share of the requested worth", "goodput"));
  append(time_series(rows, "Attempts sent", "attempts/s", "attempts"));
  append(time_series(rows, "Jobs waiting for a core", "jobs", "waiting"));
  append(latency_distributions(rows));
  return plots;
}

bool has_points(const LinePlot& plot) {
  return std::any_of(plot.lines.begin(), plot.lines.end(),
                     [](const PlotLine& line) { return !line.points.empty(); });
}

std::string html_head(const std::string& title) {
  return "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>" + escape(title) +
         "</title><style>body{font:15px sans-serif;max-width:1100px;margin:2em auto;padding:0 1em}"
         "table{border-collapse:collapse;font-size:13px}td,th{border:1px solid #ccc;padding:3px "
         "7px;text-align:right}"
         "td:first-child,td:nth-child(2){text-align:left}svg{max-width:100%;height:auto;margin:1em "
         "0}</style></head><body><h1>" +
         escape(title) + "</h1>\n";
}

}  // namespace

std::string html_report(const std::string& title, const std::vector<Json::Value>& rows,
                        const std::vector<Json::Value>& timing) {
  if (rows.empty()) {
    throw std::runtime_error("the result contains no finished cell");
  }
  std::string out = html_head(title);
  const TempDirectory directory;
  int number = 0;
  for (const LinePlot& plot : all_plots(rows, timing)) {
    if (has_points(plot)) {
      out += draw_svg(plot, directory, ++number) + "\n";
    }
  }
  out += "<h2>Means over the seeds</h2>\n" + html_table(rows);
  return out + "</body></html>\n";
}

}  // namespace beechhill::experiments
