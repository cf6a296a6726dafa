#include "experiments/plot.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <stdexcept>

#include "experiments/temp_folder.h"

extern char** environ;

namespace beechhill::experiments {
namespace {

std::string escape(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '<') {
      out += "&lt;";
    } else if (c == '>') {
      out += "&gt;";
    } else if (c == '&') {
      out += "&amp;";
    } else if (c == '"') {
      out += "&quot;";
    } else {
      out += c;
    }
  }
  return out;
}

struct Line {
  std::string name;
  std::vector<std::pair<double, double>> points;
};
struct Plot {
  std::string title, x, y;
  std::vector<Line> lines;
  bool log_x = false, log_y = false, from_zero = true;
};

// gnuplot's text in double quotes: what could end it or be a command goes.
std::string quoted(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    out += c == '"' || c == '\\' || c == '`' || c == '\n' ? ' ' : c;
  }
  return out + "\"";
}

std::string draw(const Plot& plot, const TempFolder& dir, int number) {
  const std::string script = dir.file("plot.gp"), image = dir.file("plot.svg");
  std::ostringstream s;
  s << "set terminal svg size 760,420 dynamic font 'sans-serif,13' name 'p" << number
    << "' background 'white'\n";
  s << "set output '" << image
    << "'\nset encoding utf8\nset grid lc rgb '#dddddd'\nset key outside right top noenhanced\n";
  s << "set title " << quoted(plot.title) << " noenhanced\nset xlabel " << quoted(plot.x)
    << " noenhanced\nset ylabel " << quoted(plot.y) << " noenhanced\n";
  if (plot.log_x) {
    s << "set logscale x\n";
  }
  if (plot.log_y) {
    s << "set logscale y\n";
  }
  double most = 0;
  for (const Line& line : plot.lines) {
    for (const auto& [x, y] : line.points) {
      most = std::max(most, y);
    }
  }
  if (plot.from_zero && !plot.log_y) {
    s << "set yrange [0:" << (most > 0 ? "*" : "1") << "]\n";
  }
  for (std::size_t i = 0; i < plot.lines.size(); ++i) {
    s << "$d" << i << " << EOD\n";
    for (const auto& [x, y] : plot.lines[i].points) {
      s << x << ' ' << y << '\n';
    }
    s << "EOD\n";
  }
  s << "plot ";
  for (std::size_t i = 0; i < plot.lines.size(); ++i) {
    s << (i ? ", " : "") << "$d" << i << " with "
      << (plot.lines[i].points.size() <= 40 ? "linespoints pt 7 ps 0.5" : "lines") << " lw 2 title "
      << quoted(plot.lines[i].name);
  }
  s << "\n";
  std::ofstream(script) << s.str();

  std::string program = "gnuplot", argument = script;
  char* argv[] = {program.data(), argument.data(), nullptr};
  pid_t pid = 0;
  if (::posix_spawnp(&pid, "gnuplot", nullptr, nullptr, argv, environ) != 0) {
    throw std::runtime_error("gnuplot cannot be started (Debian: gnuplot-nox)");
  }
  int status = 0;
  if (::waitpid(pid, &status, 0) != pid || !WIFEXITED(status) || WEXITSTATUS(status) != 0) {
    throw std::runtime_error("gnuplot failed (Debian: gnuplot-nox)");
  }
  std::ifstream in(image);
  std::stringstream svg;
  svg << in.rdbuf();
  const std::string text = svg.str();
  const std::size_t at = text.find("<svg");
  if (at == std::string::npos) {
    throw std::runtime_error("gnuplot drew nothing");
  }
  return text.substr(at);
}

std::string label_of(const Json::Value& params) {
  std::string out;
  for (const std::string& key : params.getMemberNames()) {
    out += (out.empty() ? "" : ", ") + key + "=" +
           (params[key].type() == Json::realValue ? fmt::format("{:g}", params[key].asDouble())
                                                  : params[key].asString());
  }
  return out;
}

struct Mean {
  double sum = 0;
  int count = 0;
  void add(double v) { sum += v, ++count; }
  double get() const { return count ? sum / count : 0; }
};

// The parameter that is drawn along x: the first one with two or more numbers.
std::string axis_of(const std::vector<Json::Value>& rows) {
  std::map<std::string, std::set<double>> seen;
  for (const Json::Value& row : rows) {
    for (const std::string& key : row["cell"]["params"].getMemberNames()) {
      if (const Json::Value& v = row["cell"]["params"][key]; v.isNumeric()) {
        seen[key].insert(v.asDouble());
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

Plot against(const std::vector<Json::Value>& rows, const std::string& x, const std::string& title,
             const std::string& y, const std::function<double(const Json::Value&)>& value) {
  std::map<std::string, std::map<double, Mean>> lines;
  for (const Json::Value& row : rows) {
    Json::Value rest = row["cell"]["params"];
    rest.removeMember(x);
    const std::string name =
        row["cell"]["policy"].asString() + (rest.empty() ? "" : " (" + label_of(rest) + ")");
    const double v = value(row);
    if (std::isfinite(v)) {
      lines[name][row["cell"]["params"][x].asDouble()].add(v);
    }
  }
  Plot plot{title, x, y, {}, false, false, true};
  double least = 1e300, most = 0;
  for (const auto& [name, points] : lines) {
    Line line{name, {}};
    for (const auto& [at, mean] : points) {
      line.points.emplace_back(at, mean.get()), least = std::min(least, at),
                                                most = std::max(most, at);
    }
    plot.lines.push_back(std::move(line));
  }
  plot.log_x = least > 0 && most / least >= 30;
  return plot;
}

// One plot for each setting of the grid, a line for each policy, the mean over the seeds.
std::vector<Plot> series(const std::vector<Json::Value>& rows, const std::string& title,
                         const std::string& y, const char* field) {
  std::map<std::string, std::map<std::string, std::map<int, Mean>>> all;
  for (const Json::Value& row : rows) {
    int second = 0;
    for (const Json::Value& w : row["result"]["seconds"]) {
      all[label_of(row["cell"]["params"])][row["cell"]["policy"].asString()][second++].add(
          w[field].asDouble());
    }
  }
  std::vector<Plot> plots;
  for (const auto& [label, policies] : all) {
    Plot plot{title + (label.empty() ? "" : ": " + label), "seconds", y, {}, false, false, true};
    for (const auto& [policy, points] : policies) {
      Line line{policy, {}};
      for (const auto& [at, mean] : points) {
        line.points.emplace_back(at, mean.get());
      }
      plot.lines.push_back(std::move(line));
    }
    plots.push_back(std::move(plot));
  }
  return plots;
}

std::vector<Plot> distributions(const std::vector<Json::Value>& rows) {
  std::map<std::string, std::map<std::string, const Json::Value*>> all;
  for (const Json::Value& row : rows) {  // of the first seed: a mean of distributions is none
    if (!row["result"]["latency_cdf"].empty()) {
      all[label_of(row["cell"]["params"])].try_emplace(row["cell"]["policy"].asString(),
                                                       &row["result"]["latency_cdf"]);
    }
  }
  std::vector<Plot> plots;
  for (const auto& [label, policies] : all) {
    Plot plot{"Latency of what was served" + (label.empty() ? "" : ": " + label),
              "seconds",
              "share answered by then",
              {},
              true,
              false,
              true};
    for (const auto& [policy, cdf] : policies) {
      Line line{policy, {}};
      for (const Json::Value& point : *cdf) {
        line.points.emplace_back(point[0].asDouble(), point[1].asDouble());
      }
      plot.lines.push_back(std::move(line));
    }
    plots.push_back(std::move(plot));
  }
  return plots;
}

constexpr std::size_t kMostOfAKind =
    6;  // plots; a large grid's middle says little that its ends do not

std::vector<Plot> thinned(std::vector<Plot> plots) {
  if (plots.size() <= kMostOfAKind) {
    return plots;
  }
  std::vector<Plot> kept;
  for (std::size_t i = 0; i < kMostOfAKind; ++i) {
    kept.push_back(plots[i * (plots.size() - 1) / (kMostOfAKind - 1)]);
  }
  return kept;
}

std::string table(const std::vector<Json::Value>& rows) {
  std::map<std::string, std::map<std::string, std::map<std::string, Mean>>> all;
  std::vector<std::string> order;
  const std::vector<std::pair<const char*, const char*>> columns{
      {"goodput", "goodput"},
      {"p50_s", "p50 s"},
      {"p99_s", "p99 s"},
      {"p999_s", "p99.9 s"},
      {"waste", "waste"},
      {"tries_per_request", "tries"},
      {"attempts_per_request", "attempts"}};
  for (const Json::Value& row : rows) {
    const std::string label = label_of(row["cell"]["params"]);
    if (!all.contains(label)) {
      order.push_back(label);
    }
    auto& cell = all[label][row["cell"]["policy"].asString()];
    for (const auto& [key, title] : columns) {
      if (row["result"].isMember(key)) {
        cell[key].add(row["result"][key].asDouble());
      }
    }
    if (row["result"].isMember("recovery_s")) {
      const double recovery = row["result"]["recovery_s"].asDouble();
      cell["runs"].add(1);
      if (recovery >= 0) {
        cell["recovery"].add(recovery);
      }
    }
    double broken = 0;
    for (const std::string& rule : row["result"]["rules"].getMemberNames()) {
      broken += row["result"]["rules"][rule].asDouble();
    }
    cell["broken"].add(broken);
    cell["refused"].add(row["result"]["all"]["refused"].asDouble() /
                        std::max(1.0, row["result"]["all"]["asked"].asDouble()));
  }
  std::string out = "<table><tr><th>setting</th><th>policy</th>";
  for (const auto& [key, title] : columns) {
    out += fmt::format("<th>{}</th>", title);
  }
  out += "<th>recovery s</th><th>refused</th><th>rules broken</th></tr>\n";
  for (const std::string& label : order) {
    for (const auto& [policy, cell] : all[label]) {
      out += fmt::format("<tr><td>{}</td><td>{}</td>", escape(label), escape(policy));
      for (const auto& [key, title] : columns) {
        const auto it = cell.find(key);
        out += it == cell.end() ? "<td></td>" : fmt::format("<td>{:.4f}</td>", it->second.get());
      }
      const auto runs = cell.find("runs"), recovered = cell.find("recovery");
      out += "<td>";
      if (recovered != cell.end()) {
        out += fmt::format("{:.1f}", recovered->second.get());
      }
      if (runs != cell.end()) {
        const int never =
            runs->second.count - (recovered != cell.end() ? recovered->second.count : 0);
        if (never > 0) {
          out += fmt::format(" (never in {} of {} runs)", never, runs->second.count);
        }
      }
      out += fmt::format("</td><td>{:.4f}</td><td>{:g}</td></tr>\n", cell.at("refused").get(),
                         cell.at("broken").sum);
    }
  }
  return out + "</table>\n";
}

}  // namespace

std::string html_report(const std::string& title, const std::vector<Json::Value>& rows,
                        const std::vector<Json::Value>& timing) {
  if (rows.empty()) {
    throw std::runtime_error("no finished cell in the result");
  }
  std::vector<Plot> plots;
  const auto append = [&plots](std::vector<Plot> more) {
    for (Plot& p : thinned(std::move(more))) {
      plots.push_back(std::move(p));
    }
  };
  const std::string x = axis_of(rows);
  if (!x.empty()) {
    plots.push_back(
        against(rows, x, "Worth served in time", "share of the worth asked for",
                [](const Json::Value& r) { return r["result"]["goodput"].asDouble(); }));
    plots.push_back(against(rows, x, "99th percentile of what was served", "seconds",
                            [](const Json::Value& r) { return r["result"]["p99_s"].asDouble(); }));
    plots.push_back(against(rows, x, "Work done for nothing", "share of the work done",
                            [](const Json::Value& r) { return r["result"]["waste"].asDouble(); }));
    plots.push_back(against(rows, x, "Busiest node against the mean", "times the mean",
                            [](const Json::Value& r) {
                              return r["result"]["tiers"][0]["busy_max_over_mean"].asDouble();
                            }));
    if (!timing.empty()) {
      Plot cost =
          against(timing, x, "Cost of one decision, the whole emulation with it", "microseconds",
                  [](const Json::Value& r) { return r["us_per_decision"].asDouble(); });
      cost.log_y = true;
      plots.push_back(std::move(cost));
    }
  }
  append(series(rows, "Worth served in time, by the second it was asked for", "share", "goodput"));
  append(series(rows, "Attempts sent", "a second", "attempts"));
  append(series(rows, "Jobs that wait for a core", "jobs", "waiting"));
  append(distributions(rows));
  std::string out =
      "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>" + escape(title) +
      "</title><style>body{font:15px sans-serif;max-width:1100px;margin:2em auto;padding:0 1em}"
      "table{border-collapse:collapse;font-size:13px}td,th{border:1px solid #ccc;padding:3px "
      "7px;text-align:right}"
      "td:first-child,td:nth-child(2){text-align:left}svg{max-width:100%;height:auto;margin:1em "
      "0}</style></head><body><h1>" +
      escape(title) + "</h1>\n";
  const TempFolder dir;
  int number = 0;
  for (const Plot& plot : plots) {
    if (std::any_of(plot.lines.begin(), plot.lines.end(),
                    [](const Line& l) { return !l.points.empty(); })) {
      out += draw(plot, dir, ++number) + "\n";
    }
  }
  out += "<h2>Means over the seeds</h2>\n" + table(rows);
  return out + "</body></html>\n";
}

}  // namespace beechhill::experiments
