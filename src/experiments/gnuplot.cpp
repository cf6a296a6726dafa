#include "experiments/gnuplot.h"

#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

extern char** environ;

namespace beechhill::experiments {
namespace {

// Lines with at most this many points are drawn with a mark at each point.
constexpr std::size_t kMaxMarkedPoints = 40;

// Returns `text` as a double-quoted string of gnuplot. Replaces quotes, backslashes, backticks and
// line feeds by spaces, as they could end the string or execute a shell command.
std::string quoted(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    out += c == '"' || c == '\\' || c == '`' || c == '\n' ? ' ' : c;
  }
  return out + "\"";
}

double max_y(const LinePlot& plot) {
  double max = 0;
  for (const PlotLine& line : plot.lines) {
    for (const auto& [x, y] : line.points) {
      max = std::max(max, y);
    }
  }
  return max;
}

void write_header(std::ostream& out, const LinePlot& plot, const std::string& image, int number) {
  out << "set terminal svg size 760,420 dynamic font 'sans-serif,13' name 'p" << number
      << "' background 'white'\n";
  out << "set output '" << image << "'\nset encoding utf8\nset grid lc rgb '#dddddd'\n"
      << "set key outside right top noenhanced\n";
  out << "set title " << quoted(plot.title) << " noenhanced\nset xlabel " << quoted(plot.x_label)
      << " noenhanced\nset ylabel " << quoted(plot.y_label) << " noenhanced\n";
  if (plot.log_x) {
    out << "set logscale x\n";
  }
  if (plot.log_y) {
    out << "set logscale y\n";
  } else {
    out << "set yrange [0:" << (max_y(plot) > 0 ? "*" : "1") << "]\n";
  }
}

void write_data(std::ostream& out, const LinePlot& plot) {
  for (std::size_t i = 0; i < plot.lines.size(); ++i) {
    out << "$d" << i << " << EOD\n";
    for (const auto& [x, y] : plot.lines[i].points) {
      out << x << ' ' << y << '\n';
    }
    out << "EOD\n";
  }
}

void write_plot_command(std::ostream& out, const LinePlot& plot) {
  out << "plot ";
  for (std::size_t i = 0; i < plot.lines.size(); ++i) {
    const PlotLine& line = plot.lines[i];
    const char* style =
        line.points.size() <= kMaxMarkedPoints ? "linespoints pt 7 ps 0.5" : "lines";
    out << (i ? ", " : "") << "$d" << i << " with " << style << " lw 2 title " << quoted(line.name);
  }
  out << "\n";
}

void run_gnuplot(const std::string& script) {
  std::string program = "gnuplot";
  std::string argument = script;
  char* argv[] = {program.data(), argument.data(), nullptr};
  pid_t pid = 0;
  if (::posix_spawnp(&pid, program.c_str(), nullptr, nullptr, argv, environ) != 0) {
    throw std::runtime_error("cannot start gnuplot (Debian package: gnuplot-nox)");
  }
  int status = 0;
  if (::waitpid(pid, &status, 0) != pid || !WIFEXITED(status) || WEXITSTATUS(status) != 0) {
    throw std::runtime_error("gnuplot did not exit with status 0 (Debian package: gnuplot-nox)");
  }
}

// Returns the SVG file's content without the XML declaration, which must not occur inside HTML.
std::string read_svg_element(const std::string& path) {
  std::ifstream in(path);
  std::stringstream content;
  content << in.rdbuf();
  const std::string text = content.str();
  const std::size_t begin = text.find("<svg");
  if (begin == std::string::npos) {
    throw std::runtime_error("the file that gnuplot wrote contains no <svg> element");
  }
  return text.substr(begin);
}

}  // namespace

std::string draw_svg(const LinePlot& plot, const TempDirectory& directory, int number) {
  const std::string script = directory.file("plot.gp");
  const std::string image = directory.file("plot.svg");
  {
    std::ofstream out(script);
    write_header(out, plot, image, number);
    write_data(out, plot);
    write_plot_command(out, plot);
  }
  run_gnuplot(script);
  return read_svg_element(image);
}

}  // namespace beechhill::experiments
